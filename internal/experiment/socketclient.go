package experiment

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"cranegate/internal/fake"
	"cranegate/routing"
)

// frontend holds the two listen addresses of a gateway (PostgreSQL, MySQL) and idle client connections to each.
type frontend struct {
	addresses [2]string
	idle      [2]chan client
}

// client is a client connection of either protocol.
type client interface {
	io.Closer
	query(text string) (fake.Reply, error)
}

// postgresClient is a client connection of the PostgreSQL protocol.
type postgresClient struct{ *fake.PostgresClient }

func (c postgresClient) query(text string) (fake.Reply, error) { return c.Ask(text) }

// mysqlClient is a client connection of the MySQL protocol.
type mysqlClient struct{ *fake.MySQLClient }

func (c mysqlClient) query(text string) (fake.Reply, error) { return c.Query(text) }

// submit sends a request over a connection of either protocol and passes the response to the model.
func (l *live) submit(request *request) {
	id := fmt.Sprintf("%02x%014x", request.gateway, request.id)
	l.openRequests[id] = request
	key, protocol := fmt.Sprintf("k%d", request.id), int(request.id%2)
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d", id, request.class.Name, (request.deadline-l.now)/time.Millisecond, request.group.number)
	if request.sessionToken > 0 {
		text += fmt.Sprintf(",after=%d", l.unixMillis(request.sessionToken)+1)
	}
	if request.class.Consistency == routing.ConsistencyWrite {
		text += " */ INSERT INTO records (k, v) VALUES ('" + key + "', 'x') RETURNING v"
	} else {
		text += " */ SELECT v FROM records WHERE k = '" + key + "'"
	}
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		r, err := l.query(request.gateway, protocol, text)
		l.post(func() {
			delete(l.openRequests, id)
			switch {
			case err != nil:
				l.judge.note("%s got no answer: %v", request.class.Name, err)
				return // requestTimedOut counts it
			case r.Outcome == "served" && (request.servedBy == nil || request.class.Consistency != routing.ConsistencyWrite && r.Value != "value of "+key):
				l.judge.wrongAnswers++
				l.judge.note("%s was served %q", request.class.Name, r.Value)
				return
			}
			l.gateways[request.gateway].respond(request, r.Outcome == "served", r.Outcome == "refused", 0, request.servedBy, request.servedPosition)
		})
	}()
}

// query sends a request over an idle connection or a new one. If the connection ends before a response, query assumes
// that the gateway closed it between requests, and retries once over a new connection.
func (l *live) query(gateway, protocol int, text string) (reply fake.Reply, err error) {
	for try := range 2 {
		var c client
		if c, err = l.dial(gateway, protocol, try > 0); err != nil {
			return reply, err
		}
		if reply, err = c.query(text); err == nil {
			select {
			case l.frontends[gateway].idle[protocol] <- c:
			default:
				c.Close()
			}
			return reply, nil
		}
		c.Close()
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return reply, err
		}
	}
	return reply, err
}

// dial returns an idle connection, or a new one if there is none or fresh is set.
func (l *live) dial(gateway, protocol int, fresh bool) (client, error) {
	f := l.frontends[gateway]
	if !fresh {
		select {
		case c := <-f.idle[protocol]:
			return c, nil
		default:
		}
	}
	raw, err := net.DialTimeout("tcp", f.addresses[protocol], 2*time.Second)
	if err != nil {
		return nil, err
	}
	// The deadline keeps a hanging connection from blocking the run. Response times are checked elsewhere.
	raw.SetDeadline(time.Now().Add(time.Minute))
	if protocol == 0 {
		c, err := fake.DialPostgres(raw, "")
		return postgresClient{c}, err
	}
	c, err := fake.DialMySQL(raw, 0)
	return mysqlClient{c}, err
}
