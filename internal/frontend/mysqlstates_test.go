package frontend_test

import (
	"cmp"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// mysqlStep is a command of a client. Op is an index of mysqlOps, and Which the id of the statement that the command names.
type mysqlStep struct{ Op, Which int }

// mysqlPlans generates sequences of commands for one connection.
var mysqlPlans = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) mysqlStep {
	return mysqlStep{rapid.IntRange(0, len(mysqlOps)-1).Draw(t, "op"), rapid.IntRange(0, 5).Draw(t, "which")}
}), 1, 30)

// mysqlModel is a connection and the model of its prepared statements.
type mysqlModel struct {
	client *fake.MySQLClient
	open   map[uint32]bool // ids of open prepared statements
}

// comChangeUser is a command that the gateway does not support.
const comChangeUser = 0x11

// mysqlOps are the commands. Each function gets the id of a statement, which may be unknown, and a key. It returns the answer, and the
// expected value or error code.
var mysqlOps = []func(m *mysqlModel, id uint32, key string) (got fake.Reply, want string, err error){
	func(m *mysqlModel, _ uint32, _ string) (got fake.Reply, want string, err error) {
		got, err = m.client.Command(mysqlwire.ComPing, "")
		return got, "", err
	},
	func(m *mysqlModel, _ uint32, _ string) (got fake.Reply, want string, err error) {
		got, err = m.client.Command(mysqlwire.ComInitDB, "other")
		return got, "", err
	},
	func(m *mysqlModel, _ uint32, _ string) (got fake.Reply, want string, err error) {
		got, err = m.client.Query("SET NAMES utf8mb4")
		return got, "", err
	},
	func(m *mysqlModel, _ uint32, key string) (got fake.Reply, want string, err error) {
		got, err = m.client.Query("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = '" + key + "'")
		return got, "value of " + key, err
	},
	func(m *mysqlModel, _ uint32, _ string) (got fake.Reply, want string, err error) {
		got, err = m.client.Query("SELECT 1")
		return got, "1064", err
	},
	func(m *mysqlModel, _ uint32, _ string) (got fake.Reply, want string, err error) {
		got, err = m.client.Command(comChangeUser, "x")
		return got, "1047", err
	},
	(*mysqlModel).prepare, (*mysqlModel).prepare,
	(*mysqlModel).execute, (*mysqlModel).execute,
	(*mysqlModel).closeStatement,
	(*mysqlModel).reset,
	(*mysqlModel).longData,
}

// prepare prepares a statement. Its id must be new.
func (m *mysqlModel) prepare(_ uint32, _ string) (got fake.Reply, want string, err error) {
	got, statement, _, err := m.client.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
	if m.open[statement] {
		return got, "", fmt.Errorf("statement id %d was assigned twice", statement)
	}
	m.open[statement] = true
	return got, "", err
}

// execute executes a statement with a key.
func (m *mysqlModel) execute(id uint32, key string) (got fake.Reply, want string, err error) {
	got, err = m.client.Execute(id, []mysqlwire.Param{mysqlwire.Attribute("", key)})
	if !m.open[id] {
		return got, "1243", err
	}
	return got, "value of " + key, err
}

// closeStatement closes a statement, which has no answer.
func (m *mysqlModel) closeStatement(id uint32, _ string) (got fake.Reply, want string, err error) {
	err = m.client.CloseStatement(id)
	delete(m.open, id)
	return fake.Reply{Outcome: "served"}, "", err
}

// reset resets a statement.
func (m *mysqlModel) reset(id uint32, _ string) (got fake.Reply, want string, err error) {
	got, err = m.client.Command(mysqlwire.ComStmtReset, string([]byte{byte(id), 0, 0, 0}))
	if !m.open[id] {
		return got, "1243", err
	}
	return got, "", err
}

// longData sends a value for a parameter that does not exist, after which the next execute would fail, and resets the statement.
func (m *mysqlModel) longData(id uint32, key string) (got fake.Reply, want string, err error) {
	err = m.client.LongData(id, 1, "never used")
	if err != nil || !m.open[id] {
		return fake.Reply{Outcome: "served"}, "", err
	}
	return m.reset(id, key)
}

// TestMySQLConnectionStates sends random commands and compares the answers with a model of the connection's prepared statements.
func TestMySQLConnectionStates(t *testing.T) {
	for _, capabilities := range []uint32{0, mysqlwire.CapDeprecateEOF | mysqlwire.CapQueryAttributes | mysqlwire.CapSessionTrack} {
		checkPlans(t, mysqlPlans, func(plan []mysqlStep) (err error) {
			harness := newHarness(true, &fake.Host{Primary: true})
			defer func() { err = cmp.Or(err, harness.close()) }()
			client, err := fake.DialMySQL(harness.connect(), capabilities)
			if err != nil {
				return err
			}
			defer client.Close()
			model := &mysqlModel{client: client, open: map[uint32]bool{}}
			for i, step := range plan {
				got, want, err := mysqlOps[step.Op](model, uint32(step.Which), fmt.Sprint("k", i))
				if err != nil {
					return fmt.Errorf("step %d: %w", i, err)
				}
				if !matches(got, want) {
					return fmt.Errorf("step %d (%+v): %+v, want %q", i, step, got, want)
				}
			}
			return nil
		})
	}
}

// matches reports whether an answer is the expected one. A want of four characters is an error code, any other the value.
func matches(got fake.Reply, want string) bool {
	if len(want) == 4 {
		return got.Code == want
	}
	return got.Outcome == "served" && got.Value == want
}
