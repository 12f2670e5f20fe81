package frontend_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// attributeRecorder is the hosts' view of the statements: their ids, and their texts with the values of their parameters.
type attributeRecorder struct {
	mu         sync.Mutex
	resets     int // this many statements end in a reset, 30 ms after they have come
	statements [][2]string
}

// act records a statement.
func (r *attributeRecorder) act(id, text string, prepare bool) fake.Act {
	if prepare {
		return fake.Serve
	}
	r.mu.Lock()
	r.statements = append(r.statements, [2]string{id, text})
	resets := len(r.statements) <= r.resets
	r.mu.Unlock()
	if !resets {
		return fake.Serve
	}
	time.Sleep(30 * time.Millisecond)
	return fake.Reset
}

// commandWriters write a command of a class, whose text and whose id attribute have the same id.
var commandWriters = map[string]func(w *mysqlwire.Writer, statement uint32, class, id string){
	"query": func(w *mysqlwire.Writer, _ uint32, class, id string) {
		text := "/* c=" + class + ",cluster=4 */ SELECT v FROM records WHERE k = '" + id + "'"
		w.Query([]mysqlwire.Param{mysqlwire.Attribute("id", id)}, []byte(text), attributeCapabilities)
	},
	"execute": func(w *mysqlwire.Writer, statement uint32, _, id string) {
		w.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", id)}, []mysqlwire.Param{mysqlwire.Attribute("id", id)},
			attributeCapabilities)
	},
}

const attributeCapabilities = mysqlwire.CapProtocol41 | mysqlwire.CapQueryAttributes

// TestAttributesOfLateAttempt guards against a statement that goes out with another request's id: the values of a command's
// attributes stood in the read buffer, which the client's next command had overwritten by the time an attempt was written, as its
// connection was late.
func TestAttributesOfLateAttempt(t *testing.T) {
	testAttributes(t, "put", 2, func(h *testHarness, _ *attributeRecorder) {
		h.onDial = func() { time.Sleep(50 * time.Millisecond) }
	})
}

// TestAttributesOfRetry guards against the same failure in a request that is sent again after its connection was reset.
func TestAttributesOfRetry(t *testing.T) {
	testAttributes(t, "look", 3, func(_ *testHarness, r *attributeRecorder) { r.resets = 1 })
}

// testAttributes has a client send a second command of a class while the first is open, and checks the statements that hosts receive.
func testAttributes(t *testing.T, class string, statements int, prepare func(*testHarness, *attributeRecorder)) {
	for name, write := range commandWriters {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func() error {
				recorder := &attributeRecorder{}
				harness := newHarness(true, &fake.Host{Primary: true, Act: recorder.act}, &fake.Host{Act: recorder.act})
				prepare(harness, recorder)
				client, err := fake.DialMySQL(harness.connect(), mysqlwire.CapQueryAttributes)
				if err == nil {
					err = writePipelined(client, class, write)
				}
				client.Close()
				return errors.Join(err, harness.close(), recorder.check(statements))
			})
		})
	}
}

// writePipelined writes a second command while the first is open.
func writePipelined(client *fake.MySQLClient, class string, write func(w *mysqlwire.Writer, statement uint32, class, id string)) error {
	_, statement, _, err := client.Prepare("/* c=" + class + ",cluster=4 */ SELECT v FROM records WHERE k = ?")
	if err != nil {
		return err
	}
	go io.Copy(io.Discard, client.Conn.Conn)
	for _, id := range []string{"first", "other"} { // of the same length, so that one overwrites the other exactly
		var w mysqlwire.Writer
		write(&w, statement, class, id)
		if _, err := client.Write(w.B); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return nil
}

// check checks the number of statements, and that each came with its own id.
func (r *attributeRecorder) check(statements int) error {
	if n := len(r.statements); n != statements {
		return fmt.Errorf("the hosts received %d statements in place of %d", n, statements)
	}
	for _, s := range r.statements {
		if id, text := s[0], s[1]; !strings.Contains(text, "'"+id+"'") {
			return fmt.Errorf("the host received %q with the id %q", text, id)
		}
	}
	return nil
}
