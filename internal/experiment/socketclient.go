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

// frontend is a gateway's listen addresses (PostgreSQL, MySQL), with idle client connections to each.
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
func (l *live) submit(q *request) {
	id := fmt.Sprintf("%02x%014x", q.gateway, q.id)
	l.openRequests[id] = q
	key, protocol := fmt.Sprintf("k%d", q.id), int(q.id%2)
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d", id, q.class.Name, (q.deadline-l.now)/time.Millisecond, q.group.number)
	if q.sessionToken > 0 {
		text += fmt.Sprintf(",after=%d", l.unixMillis(q.sessionToken)+1)
	}
	if q.class.Consistency == routing.ConsistencyWrite {
		text += " */ INSERT INTO records (k, v) VALUES ('" + key + "', 'x') RETURNING v"
	} else {
		text += " */ SELECT v FROM records WHERE k = '" + key + "'"
	}
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		r, err := l.query(q.gateway, protocol, text)
		l.post(func() {
			delete(l.openRequests, id)
			switch {
			case err != nil:
				l.judge.note("%s got no answer: %v", q.class.Name, err)
				return // overdue counts it
			case r.Outcome == "served" && (q.servedBy == nil || q.class.Consistency != routing.ConsistencyWrite && r.Value != "value of "+key):
				l.judge.wrongAnswers++
				l.judge.note("%s was served %q", q.class.Name, r.Value)
				return
			}
			l.gateways[q.gateway].respond(q, r.Outcome == "served", r.Outcome == "refused", 0, q.servedBy, q.servedPosition)
		})
	}()
}

// query uses an idle connection or a new one. If the connection ends before a response, the gateway is taken to have
// closed it between requests, and query retries once on a new one.
func (l *live) query(gateway, protocol int, text string) (r fake.Reply, err error) {
	for try := range 2 {
		var c client
		if c, err = l.dial(gateway, protocol, try > 0); err != nil {
			return r, err
		}
		if r, err = c.query(text); err == nil {
			select {
			case l.frontends[gateway].idle[protocol] <- c:
			default:
				c.Close()
			}
			return r, nil
		}
		c.Close()
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return r, err
		}
	}
	return r, err
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
	raw.SetDeadline(time.Now().Add(time.Minute)) // bounds a day, not an answer
	if protocol == 0 {
		c, err := fake.DialPostgres(raw, "")
		return postgresClient{c}, err
	}
	c, err := fake.DialMySQL(raw, 0)
	return mysqlClient{c}, err
}
