package frontend_test

import (
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
)

// The forms of a request: a PostgreSQL query, a MySQL text query, or the execute of a MySQL prepared statement.
const (
	formPostgres = "postgres"
	formMySQL    = "mysql"
	formPrepared = "prepared"
)

var (
	clientForms = []string{formPostgres, formMySQL, formPrepared}
	protocols   = clientForms[:2] // one form per protocol
	mysqlForms  = clientForms[1:]
)

// readStatement is the format string of a read. Its only argument is the request's id, which is also the key.
const readStatement = "/* id=%s,c=look,d=1000,cluster=4 */ SELECT v FROM records WHERE k = '%[1]s'"

// statementPrefix maps a request class to the text of its statements up to the key.
var statementPrefix = map[string]string{"look": "SELECT v FROM records WHERE k = ", "put": "INSERT INTO records (k) VALUES "}

// testClient is a client of either protocol.
type testClient struct {
	form string
	pg   *fake.PostgresClient // with formPostgres
	my   *fake.MySQLClient    // with the other forms
}

// newClient connects a client that sends its requests in the given form.
func (h *testHarness) newClient(form string) (*testClient, error) {
	c, err := &testClient{form: form}, error(nil)
	if form == formPostgres {
		c.pg, err = fake.DialPostgres(h.connect(), "")
	} else {
		c.my, err = fake.DialMySQL(h.connect(), mysqlwire.CapQueryAttributes|mysqlwire.CapSessionTrack)
	}
	return c, err
}

// request sends one request and returns its answer. The key is the request's id, so that the returned value shows to which request
// it belongs.
func (c *testClient) request(class, id string) (fake.Reply, error) {
	if c.form != formPrepared {
		return c.query("/* id=" + id + ",c=" + class + ",d=1000,cluster=4 */ " + statementPrefix[class] + "'" + id + "'")
	}
	reply, statement, _, err := c.my.Prepare("/* c=" + class + ",cluster=4 */ " + statementPrefix[class] + "?")
	if err != nil || reply.Outcome != "served" {
		return reply, err
	}
	reply, err = c.my.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", id)}, mysqlwire.Attribute("id", id),
		mysqlwire.Attribute("d", "1000"))
	c.my.CloseStatement(statement) // has no answer; fails if the gateway has closed the connection, which is allowed here
	return reply, err
}

// query sends a text query and returns its answer.
func (c *testClient) query(text string) (fake.Reply, error) {
	if c.pg != nil {
		return c.pg.Ask(text)
	}
	return c.my.Query(text)
}

// conn returns the client's connection.
func (c *testClient) conn() *framebuf.Conn {
	if c.pg != nil {
		return c.pg.Conn
	}
	return c.my.Conn
}

func (c *testClient) disconnect() {
	if c.pg != nil {
		c.pg.Close()
	} else {
		c.my.Close()
	}
}

// mysqlPacket frames a MySQL command, as a packet with sequence number 0.
func mysqlPacket(kind byte, body string) string {
	n := len(body) + 1
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), 0, kind}) + body
}

// postgresQuery frames a PostgreSQL simple query.
func postgresQuery(text string) string { return string(pgwire.Append(nil, 'Q', text, "\x00")) }

// queryBytes frames a text query in the harness's protocol.
func (h *testHarness) queryBytes(text string) string {
	if h.mysql {
		return mysqlPacket(mysqlwire.ComQuery, text)
	}
	return postgresQuery(text)
}

// requestBytes frames a request whose key is its id, with a suffix appended to its text.
func (h *testHarness) requestBytes(class, id, suffix string) string {
	return h.queryBytes("/* id=" + id + ",c=" + class + ",d=1000,cluster=4 */ " + statementPrefix[class] + "'" + id + "'" + suffix)
}
