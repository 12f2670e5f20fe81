package frontend_test

import (
	"bytes"
	"errors"
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

// Statements of faulty clients. The first is a format string, as its id contains a number.
const (
	unknownClassStatement = "/* id=b%d,c=zusage-alt,d=500,cluster=4 */ SELECT v FROM records WHERE k = 'b'"
	openStatement         = "/* id=open,c=put,d=900,cluster=4 */ INSERT INTO records (k) VALUES ('open')"
)

// manyUnknownClasses returns 600 unusable queries, each framed by the given function.
func manyUnknownClasses(frame func(string) string) string {
	var b strings.Builder
	for i := range 600 {
		b.WriteString(frame(fmt.Sprintf(unknownClassStatement, i)))
	}
	return b.String()
}

// mysqlQuery frames a MySQL text query.
func mysqlQuery(text string) string { return mysqlPacket(mysqlwire.ComQuery, text) }

// faultyClient describes a client that sends unusable messages, and how the gateway must react.
type faultyClient struct {
	name       string
	login      bool   // it completes the startup first
	postgres   string // the bytes that it sends next, with PostgreSQL
	mysql      string // the bytes that it sends next, with MySQL
	endless    bool   // it then sends zeros without end
	mustEnd    bool   // its connection must be closed; otherwise it may stay open
	mustReport bool   // it must get an error
	copiesID   bool   // another client has an open request with the same id
}

// faultyClients are the cases of TestFaultyClients.
var faultyClients = []faultyClient{
	{name: "silent", mustEnd: true},
	{name: "half a greeting", postgres: "\x00\x00\x00\x16\x00", mysql: "\x20\x00", mustEnd: true},
	{name: "noise", postgres: "GET / HTTP/1.1\r\n\r\n", mysql: "GET / HTTP/1.1\r\n\r\n", endless: true, mustEnd: true},
	{name: "half a command", login: true, postgres: postgresQuery(openStatement)[:20], mysql: mysqlQuery(openStatement)[:20], mustEnd: true},
	{name: "negative length", login: true, postgres: "Q\xff\xff\xff\xf0", mysql: "\xff\xff\xff\x00\x03", mustEnd: true, mustReport: true},
	{name: "60 MB", login: true, postgres: "Q\x03\x93\x87\x00/* id=b,c=look */ ", mysql: "\xff\xff\xff\x00\x03/* id=b,c=look */ ",
		endless: true, mustEnd: true, mustReport: true},
	{name: "no deadline", login: true, postgres: postgresQuery("/* id=b,c=look,d=soon,cluster=4 */ SELECT"),
		mysql: mysqlQuery("/* id=b,c=look,d=soon */ SELECT"), mustReport: true},
	{name: "no id", login: true, postgres: postgresQuery("/* c=look,d=500,cluster=4 */ SELECT v FROM records WHERE k = 'a'"),
		mysql: mysqlQuery("/* d=500 */ SELECT"), mustReport: true},
	{name: "hundreds", login: true, postgres: manyUnknownClasses(postgresQuery), mysql: manyUnknownClasses(mysqlQuery),
		mustEnd: true, mustReport: true},
	{name: "another's id", login: true, postgres: postgresQuery(openStatement), mysql: mysqlQuery(openStatement), mustReport: true,
		copiesID: true},
}

// TestFaultyClients checks that a client that sends unusable messages gets an error or is disconnected within 3 s of its connect, even if
// it has announced a much longer message. A client that uses the id of an open request must get an error, as hosts would take its request
// for an attempt of the open one, and the open request must be answered. Afterwards another client must be served.
func TestFaultyClients(t *testing.T) {
	for _, faulty := range faultyClients {
		for _, form := range protocols {
			t.Run(faulty.name+" "+form, func(t *testing.T) {
				inBubble(t, func() error { return faulty.check(form) })
			})
		}
	}
}

// check runs the faulty client, with another client's request open if copiesID is set, and then an ordinary client.
func (f faultyClient) check(form string) error {
	blocked := make(chan struct{})
	host := &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
		if id == "open" {
			<-blocked
		}
		return fake.Serve
	}}
	harness := newHarness(form != formPostgres, host)
	defer harness.close()
	first, err := harness.newClient(form)
	if err != nil {
		return err
	}
	defer first.disconnect()
	answer := make(chan fake.Reply, 1)
	if f.copiesID {
		go func() {
			r, _ := first.query(openStatement)
			answer <- r
		}()
		time.Sleep(10 * time.Millisecond)
	}
	reported, ended, err := f.run(harness.connect(), form)
	if err != nil || f.mustEnd && !ended || f.mustReport && !reported {
		return fmt.Errorf("the faulty client got an error: %v, was disconnected: %v, %v", reported, ended, err)
	}
	close(blocked)
	if f.copiesID {
		if r := <-answer; r.Outcome != "served" || host.Ran("open") != 1 {
			return fmt.Errorf("the open request: %+v, ran %d times", r, host.Ran("open"))
		}
	}
	ordinary, err := harness.newClient(form)
	if err != nil {
		return err
	}
	defer ordinary.disconnect()
	if r, err := ordinary.request("look", "u"); err != nil || r.Value != "value of u" {
		return fmt.Errorf("an ordinary client: %+v, %v", r, err)
	}
	return nil
}

// run sends the client's bytes and reads for at most 3 s. It returns earlier if the connection ends, or on an error message if the
// connection may stay open.
func (f faultyClient) run(conn net.Conn, form string) (reported, ended bool, err error) {
	defer conn.Close()
	reader := framebuf.New(conn, pgwire.MaxMessage)
	text := f.postgres
	if form != formPostgres {
		text = f.mysql
	}
	if f.login {
		reader, err = loginOn(conn, form)
		if err != nil {
			return false, false, err
		}
	}
	go func() {
		_, err := io.WriteString(conn, text)
		for err == nil && f.endless {
			_, err = conn.Write(make([]byte, 4<<10))
		}
	}()
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	for !reported || f.mustEnd {
		isError, err := readIsError(reader, form)
		if err != nil {
			return reported, err == io.EOF, nil
		}
		reported = reported || isError
	}
	return reported, false, nil
}

// loginOn completes the startup on a connection.
func loginOn(conn net.Conn, form string) (*framebuf.Conn, error) {
	if form == formPostgres {
		_, err := fake.DialPostgres(conn, "")
		return framebuf.New(conn, pgwire.MaxMessage), err
	}
	client, err := fake.DialMySQL(conn, 0)
	if err != nil {
		return nil, err
	}
	return client.Conn, nil
}

// readIsError reads a message and reports whether it is an error.
func readIsError(reader *framebuf.Conn, form string) (bool, error) {
	if form == formPostgres {
		kind, _, err := pgwire.ReadMessage(reader)
		return kind == 'E', err
	}
	_, body, err := mysqlwire.ReadPacket(reader)
	return len(body) > 0 && body[0] == mysqlwire.HeadErr, err
}

// TestSlowNetwork checks that a client on a slow network is served if it has had an answer before and needs some seconds to send its next
// message.
func TestSlowNetwork(t *testing.T) {
	inBubble(t, func() error {
		harness := newHarness(false, &fake.Host{Primary: true})
		defer harness.close()
		raw := harness.connect()
		c, err := fake.DialPostgres(raw, "")
		if err != nil {
			return err
		}
		if r, err := c.Ask("/* id=p1,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'p1'"); err != nil || r.Outcome != "served" {
			return fmt.Errorf("%+v, %v", r, err)
		}
		go func() {
			for part := range chunks([]byte(postgresQuery("/* id=p2,c=look,cluster=4 */ SELECT v FROM records WHERE k = 'p2'")), 20) {
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

// TestStallInMidMessage checks that a client that was served before and then stops in the middle of a message is disconnected within 3 s
// of its last byte, like other faulty clients.
func TestStallInMidMessage(t *testing.T) {
	for form, text := range map[string]string{"postgres": postgresQuery(openStatement), "mysql": mysqlQuery(openStatement)} {
		for _, part := range []int{1, 5, len(text) - 1} {
			t.Run(fmt.Sprint(form, " ", part), func(t *testing.T) {
				inBubble(t, func() error {
					harness := newHarness(form != "postgres", &fake.Host{Primary: true})
					defer harness.close()
					client, err := harness.newClient(form)
					if err != nil {
						return err
					}
					defer client.disconnect()
					if r, err := client.request("look", "before"); err != nil || r.Outcome != "served" {
						return fmt.Errorf("%+v, %v", r, err)
					}
					c := client.conn()
					if _, err := io.WriteString(c, text[:part]); err != nil {
						return err
					}
					stopped := time.Now()
					c.SetReadDeadline(stopped.Add(time.Minute))
					if b, err := c.Need(1); err != io.EOF {
						return fmt.Errorf("%q, %v", b, err)
					}
					if took := time.Since(stopped); took > 3*time.Second {
						return fmt.Errorf("the connection was open for %v after the last byte", took)
					}
					return nil
				})
			})
		}
	}
}

// TestOversizeAndHalfMessages checks that a MySQL client gets an error for a packet over the size limit, and is disconnected if it stops in
// the middle of a packet.
func TestOversizeAndHalfMessages(t *testing.T) {
	inBubble(t, func() error {
		harness := newHarness(true, &fake.Host{Primary: true})
		defer harness.close()
		c, err := fake.DialMySQL(harness.connect(), 0)
		if err != nil {
			return err
		}
		go c.Write([]byte{0xff, 0xff, 0xff, 0, mysqlwire.ComQuery})
		_, b, err := mysqlwire.ReadPacket(c.Conn)
		if err != nil || !bytes.Contains(b, []byte("#08S01packet too large")) {
			return fmt.Errorf("%q, %v", b, err)
		}
		half := harness.connect()
		go io.Copy(io.Discard, half)
		half.Write([]byte{1, 0})
		time.Sleep(time.Minute)
		if _, err := half.Write([]byte{0}); err == nil {
			return errors.New("half a message keeps its connection open")
		}
		return nil
	})
}
