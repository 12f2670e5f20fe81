package frontend_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
)

// postgresStep is a message of a client and its expected answer.
type postgresStep struct {
	kind byte
	body string
	want string // kinds of the messages in the answer, one character each
}

// postgresSteps are the messages of which plans consist.
var postgresSteps = []postgresStep{
	{'Q', "/* id=1,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'a'\x00", "TDCZ"},
	{'Q', " ;\x00", "IZ"},
	{'Q', "/* id=1,c=nosuch,cluster=4 */ SELECT 1\x00", "EZ"},
	{'Q', "SELECT 1\x00", "EZ"},
	{'Q', "/* id=1,c=look,d=x */\x00", "EZ"},
	{'Q', "/* c=look\x00", "EZ"},
	{'P', "\x00SELECT 1\x00\x00\x00", "E"},
	{'B', "", "E"},
	{'S', "", "Z"},
	{'H', "", ""},
	{'F', "", "EZ"},
}

// postgresEnd is the way in which a client has its connection closed.
type postgresEnd string

const (
	endTerminate      postgresEnd = "terminate"
	endTooLarge       postgresEnd = "too large"
	endUnknownMessage postgresEnd = "unknown message"
)

// postgresPlan describes the messages that a client sends on one connection.
type postgresPlan struct {
	Steps     []int // indices of postgresSteps
	PieceSize int   // size of the pieces in which the messages are written, in bytes
	End       postgresEnd
}

// postgresPlans generates plans.
var postgresPlans = rapid.Custom(func(t *rapid.T) postgresPlan {
	return postgresPlan{rapid.SliceOfN(rapid.IntRange(0, len(postgresSteps)-1), 0, 12).Draw(t, "steps"),
		rapid.IntRange(1, 300).Draw(t, "cut"),
		rapid.SampledFrom([]postgresEnd{endTerminate, endTooLarge, endUnknownMessage}).Draw(t, "end")}
})

// TestPostgresConnectionStates sends random messages in pieces of a random size, without waiting for answers. It compares the answers
// with a model of the connection, which must stay open until its planned end.
func TestPostgresConnectionStates(t *testing.T) {
	checkPlans(t, postgresPlans, func(plan postgresPlan) error {
		harness := newHarness(false, &fake.Host{Primary: true})
		defer harness.close()
		out, want := plan.messages()
		conn := harness.connect()
		go func() {
			for part := range chunks(out, plan.PieceSize) {
				if _, err := conn.Write(part); err != nil {
					return
				}
			}
		}()
		got, err := readKinds(conn)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("got %s, want %s", got, want)
		}
		return nil
	})
}

// messages returns the bytes that the client writes, and the kinds of the messages in the expected answers.
func (p postgresPlan) messages() (out []byte, want string) {
	out = append(out, 0, 0, 0, 8, 4, 210, 22, 47) // SSLRequest
	out = pgwire.AppendStartup(out, "svc", "main")
	want = "NRSSSZ"
	skipping := false // messages are ignored, from an extended query until Sync
	for _, i := range p.Steps {
		step := postgresSteps[i]
		out = pgwire.Append(out, step.kind, step.body)
		if step.kind == 'S' {
			skipping = false
		}
		if skipping {
			continue
		}
		want += step.want
		skipping = step.kind == 'P' || step.kind == 'B'
	}
	switch p.End {
	case endTerminate:
		out = pgwire.Append(out, 'X')
	case endTooLarge:
		out = append(out, 'Q', 0x7f, 0, 0, 0)
		want += "E"
	case endUnknownMessage:
		out = append(out, 'S', 0, 0, 0, 4, 'y', 0, 0, 0, 4)
		want += "ZE"
	}
	return out, want
}

// readKinds reads messages until the connection ends, and returns their kinds.
func readKinds(conn net.Conn) (string, error) {
	c := framebuf.New(conn, pgwire.MaxMessage)
	if b, err := c.Need(1); err != nil || b[0] != 'N' {
		return "", fmt.Errorf("SSLRequest: %q, %v", b, err)
	}
	c.Skip(1)
	kinds := "N"
	for {
		kind, _, err := pgwire.ReadMessage(c)
		if err == io.EOF {
			return kinds, nil
		}
		if err != nil {
			return "", err
		}
		kinds += string(kind)
	}
}
