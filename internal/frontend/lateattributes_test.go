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

// attributeRecorder is a host's view of the statements: their ids, and their texts with the values of their parameters.
type attributeRecorder struct {
	mu         sync.Mutex
	statements [][2]string
}

// act records a statement.
func (r *attributeRecorder) act(id, text string, prepare bool) fake.Act {
	if prepare {
		return fake.Serve
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, [2]string{id, text})
	return fake.Serve
}

// TestAttributesOfLateAttempt guards against a statement that goes out with another request's id: the values of a command's
// attributes stood in the read buffer, which the client's next command had overwritten by the time an attempt was written. Here the
// attempt is late because its connection is; a retry is late as well.
func TestAttributesOfLateAttempt(t *testing.T) {
	const capabilities = mysqlwire.CapProtocol41 | mysqlwire.CapQueryAttributes
	for name, write := range map[string]func(w *mysqlwire.Writer, statement uint32, id string){
		"query": func(w *mysqlwire.Writer, _ uint32, id string) {
			text := "/* c=put,cluster=4 */ INSERT INTO records (k, v) VALUES ('" + id + "', 'x')"
			w.Query([]mysqlwire.Param{mysqlwire.Attribute("id", id)}, []byte(text), capabilities)
		},
		"execute": func(w *mysqlwire.Writer, statement uint32, id string) {
			w.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", id)}, []mysqlwire.Param{mysqlwire.Attribute("id", id)}, capabilities)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func() error {
				recorder := &attributeRecorder{}
				harness := newHarness(true, &fake.Host{Primary: true, Act: recorder.act})
				harness.onDial = func() { time.Sleep(50 * time.Millisecond) }
				client, err := fake.DialMySQL(harness.connect(), mysqlwire.CapQueryAttributes)
				if err == nil {
					err = writePipelined(client, write)
				}
				client.Close()
				return errors.Join(err, harness.close(), recorder.check())
			})
		})
	}
}

// writePipelined writes a second command while the first is open.
func writePipelined(client *fake.MySQLClient, write func(w *mysqlwire.Writer, statement uint32, id string)) error {
	_, statement, _, err := client.Prepare("/* c=put,cluster=4 */ INSERT INTO records (k, v) VALUES (?, 'x')")
	if err != nil {
		return err
	}
	go io.Copy(io.Discard, client.Conn.Conn)
	for _, id := range []string{"first", "other"} { // of the same length, so that one overwrites the other exactly
		var w mysqlwire.Writer
		write(&w, statement, id)
		if _, err := client.Write(w.B); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return nil
}

// check checks that each statement came with its own id.
func (r *attributeRecorder) check() error {
	if n := len(r.statements); n != 2 {
		return fmt.Errorf("the host received %d statements in place of 2", n)
	}
	for _, s := range r.statements {
		if id, text := s[0], s[1]; !strings.Contains(text, "'"+id+"'") {
			return fmt.Errorf("the host received %q with the id %q", text, id)
		}
	}
	return nil
}
