package frontend_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
)

// packet frames a MySQL command.
func packet(kind byte, body string) string {
	n := len(body) + 1
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), 0, kind}) + body
}

func pgQuery(text string) string { return string(pgwire.Append(nil, 'Q', text, "\x00")) }

const (
	unknown = "/* id=b%d,c=zusage-alt,d=500,cluster=4 */ SELECT v FROM records WHERE k = 'b'"
	open    = "/* id=open,c=put,d=900,cluster=4 */ INSERT INTO records (k) VALUES ('open')"
)

// many is one unusable query after another, all at once.
func many(query func(string) string) string {
	var b strings.Builder
	for i := range 600 {
		b.WriteString(query(fmt.Sprintf(unknown, i)))
	}
	return b.String()
}

// TestBadClients guards what a client that sends what can't be used is owed: an error or a close within 3 s of its
// coming, long before all that it says it will send has come. One that copies the id of an open request must have an
// error, and the request itself its answer: hosts would take the copy for an attempt of it. All the while another
// client is served.
func TestBadClients(t *testing.T) {
	my := func(text string) string { return packet(mysqlwire.ComQuery, text) }
	for name, c := range map[string]struct {
		login    bool
		pg, my   string // what it sends
		endless  bool   // and more of the same for ever
		mustEnd  bool   // it is let go; else it may be told and stay
		mustHear bool   // it must be told
	}{
		"silent":          {mustEnd: true},
		"half a greeting": {pg: "\x00\x00\x00\x16\x00", my: "\x20\x00", mustEnd: true},
		"noise":           {pg: "GET / HTTP/1.1\r\n\r\n", my: "GET / HTTP/1.1\r\n\r\n", endless: true, mustEnd: true},
		"half a command":  {login: true, pg: pgQuery(open)[:20], my: my(open)[:20], mustEnd: true},
		"negative length": {login: true, pg: "Q\xff\xff\xff\xf0", my: "\xff\xff\xff\x00\x03", mustEnd: true, mustHear: true},
		"60 MB":           {login: true, pg: "Q\x03\x93\x87\x00/* id=b,c=look */ ", my: "\xff\xff\xff\x00\x03/* id=b,c=look */ ", endless: true, mustEnd: true, mustHear: true},
		"no deadline":     {login: true, pg: pgQuery("/* id=b,c=look,d=soon,cluster=4 */ SELECT"), my: my("/* id=b,c=look,d=soon */ SELECT"), mustHear: true},
		"no id":           {login: true, pg: pgQuery("/* c=look,d=500,cluster=4 */ SELECT v FROM records WHERE k = 'a'"), my: my("/* d=500 */ SELECT"), mustHear: true},
		"hundreds":        {login: true, pg: many(pgQuery), my: many(my), mustEnd: true, mustHear: true},
		"another's id":    {login: true, pg: pgQuery(open), my: my(open), mustHear: true},
	} {
		for _, form := range forms[:2] {
			t.Run(name+" "+form, func(t *testing.T) {
				inBubble(t, func() error {
					hold := make(chan struct{})
					h := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
						if id == "open" {
							<-hold
						}
						return fake.Serve
					}}
					rig := newRig(form != "postgres", h)
					defer rig.close()
					first, err := rig.asker(form)
					if err != nil {
						return err
					}
					defer first.leave()
					answer := make(chan fake.Reply, 1)
					if name == "another's id" {
						go func() { r, _ := first.say(open); answer <- r }()
						time.Sleep(10 * time.Millisecond)
					}
					text := map[string]string{"postgres": c.pg, "mysql": c.my}[form]
					heard, ended, err := playBad(rig.connect(), form, c.login, text, c.endless, c.mustEnd)
					if err != nil || c.mustEnd && !ended || c.mustHear && !heard {
						return fmt.Errorf("told: %v, let go: %v, %v", heard, ended, err)
					}
					close(hold)
					if name == "another's id" {
						if r := <-answer; r.Outcome != "served" || h.Ran("open") != 1 {
							return fmt.Errorf("the open request: %+v, ran %d times", r, h.Ran("open"))
						}
					}
					usual, err := rig.asker(form)
					if err != nil {
						return err
					}
					defer usual.leave()
					if r, err := usual.ask("look", "u"); err != nil || r.Value != "value of u" {
						return fmt.Errorf("a usual client: %+v, %v", r, err)
					}
					return nil
				})
			})
		}
	}
}

// playBad sends and reads at full speed for 3 s at most, or till it is told.
func playBad(raw net.Conn, form string, login bool, text string, endless, toTheEnd bool) (heard, ended bool, err error) {
	defer raw.Close()
	c := framebuf.New(raw, pgwire.MaxMessage)
	if login && form == "postgres" {
		_, err = fake.DialPostgres(raw, "")
	} else if login {
		var m *fake.MySQLClient
		if m, err = fake.DialMySQL(raw, 0); err == nil {
			c = m.Conn
		}
	}
	if err != nil {
		return false, false, err
	}
	go func() {
		for _, err := io.WriteString(raw, text); err == nil && endless; {
			_, err = raw.Write(make([]byte, 4<<10))
		}
	}()
	raw.SetReadDeadline(time.Now().Add(3 * time.Second))
	for !heard || toTheEnd {
		if form == "postgres" {
			kind, _, err := pgwire.ReadMessage(c)
			if err != nil {
				return heard, err == io.EOF, nil
			}
			heard = heard || kind == 'E'
		} else {
			_, b, err := mysqlwire.ReadPacket(c)
			if err != nil {
				return heard, err == io.EOF, nil
			}
			heard = heard || len(b) > 0 && b[0] == mysqlwire.HeadErr
		}
	}
	return heard, false, nil
}

// TestPoorLink guards a device on a poor link, which has asked before and needs some seconds for its next message.
func TestPoorLink(t *testing.T) {
	inBubble(t, func() error {
		rig := newRig(false, &fake.Host{Primary: true})
		defer rig.close()
		raw := rig.connect()
		c, err := fake.DialPostgres(raw, "")
		if err != nil {
			return err
		}
		if r, err := c.Ask("/* id=p1,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'p1'"); err != nil || r.Outcome != "served" {
			return fmt.Errorf("%+v, %v", r, err)
		}
		go func() {
			for part := range chunks([]byte(pgQuery("/* id=p2,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'p2'")), 20) {
				time.Sleep(time.Second)
				raw.Write(part)
			}
		}()
		if r, err := c.Read(); err != nil || r.Value != "value of p2" {
			return fmt.Errorf("a slow message: %+v, %v", r, err)
		}
		return nil
	})
}

// TestStopsInMidMessage guards what a client is owed that was served before, then stops in the middle of a message and stays: its
// error or a close within 3 s of its last byte, as other bad clients.
func TestStopsInMidMessage(t *testing.T) {
	for form, text := range map[string]string{"postgres": pgQuery(open), "mysql": packet(mysqlwire.ComQuery, open)} {
		for _, part := range []int{1, 5, len(text) - 1} {
			t.Run(fmt.Sprint(form, " ", part), func(t *testing.T) {
				inBubble(t, func() error {
					rig := newRig(form != "postgres", &fake.Host{Primary: true})
					defer rig.close()
					a, err := rig.asker(form)
					if err != nil {
						return err
					}
					defer a.leave()
					if r, err := a.ask("look", "before"); err != nil || r.Outcome != "served" {
						return fmt.Errorf("%+v, %v", r, err)
					}
					c := a.conn()
					if _, err := io.WriteString(c, text[:part]); err != nil {
						return err
					}
					stopped := time.Now()
					c.SetReadDeadline(stopped.Add(time.Minute))
					if b, err := c.Need(1); err != io.EOF {
						return fmt.Errorf("%q, %v", b, err)
					}
					if took := time.Since(stopped); took > 3*time.Second {
						return fmt.Errorf("it was held for %v", took)
					}
					return nil
				})
			})
		}
	}
}
