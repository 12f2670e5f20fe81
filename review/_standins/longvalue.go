package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["longvalue"] = longValue }

const (
	streamClients = 6
	streamValue   = 4 << 20               // bytes; the pages say that values reach 4 MiB
	streamPiece   = 32 << 10              // a host writes so many bytes at a time
	streamPause   = 50 * time.Millisecond // between two pieces
	streamBefore  = time.Second           // from the requests to SIGTERM
	streamKill    = 12 * time.Second      // from SIGTERM to SIGKILL
)

// writeSlowly writes a long value in small pieces.
func writeSlowly(h *host, q *query) bool {
	out := appendRowHead(nil, streamValue)
	if _, err := q.conn.Write(out); err != nil {
		return false
	}
	piece := make([]byte, streamPiece)
	for i := range piece {
		piece[i] = 'v'
	}
	for left := streamValue; left > 0; left -= streamPiece {
		if _, err := q.conn.Write(piece); err != nil {
			h.record.add(h.uid, "id=%s: %d bytes left, the gateway's side ended: %v", q.id, left, err)
			return false
		}
		time.Sleep(streamPause)
	}
	_, err := q.conn.Write(h.end(appendMessage(nil, 'C', "SELECT 1\x00")))
	h.record.add(h.uid, "answered id=%s whole", q.id)
	return err == nil
}

// readLong reads an answer and reports how many bytes came, and whether it was whole.
func readLong(c *client) (int, error) {
	counted := &counting{r: c.r}
	cl := client{c.Conn, bufio.NewReader(counted)}
	r := cl.read()
	return counted.n, r.err
}

type counting struct {
	r io.Reader
	n int
}

func (c *counting) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}

// longValue sends SIGTERM to a gateway while long values pass through it from hosts that write in small pieces.
func longValue(rec *record, root string, disturbed bool) (bool, error) {
	var hosts []*host
	for _, uid := range []string{"db-0", "db-1", "db-2"} {
		hosts = append(hosts, &host{uid: uid, handshake: 3 * time.Millisecond, answer: writeSlowly,
			work: func(*query) time.Duration { return 87*time.Millisecond + rand.N(63*time.Millisecond) }})
	}
	d, err := deploy(rec, root, hosts, nil)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startGateway(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	cut := 0
	var term time.Time
	var group sync.WaitGroup
	for range streamClients {
		c, err := dial(d.listen)
		if err != nil {
			return false, err
		}
		group.Go(func() {
			id := newID()
			c.Write(queryMessage(statement(id, "platzsuche", 2*time.Second, "")))
			rec.add("client", "wrote id=%s", id)
			n, err := readLong(c)
			mu.Lock()
			defer mu.Unlock()
			rec.say("client id=%s: %d bytes, %v, %.3f s after SIGTERM", id, n, err, time.Since(term).Seconds())
			if err != nil {
				cut++
			}
		})
	}
	time.Sleep(streamBefore)
	mu.Lock()
	term = time.Now()
	mu.Unlock()
	if disturbed {
		d.signal(syscall.SIGTERM)
		select {
		case <-d.gateway.ended:
			rec.say("the gateway ended with %d, %.3f s after SIGTERM", d.gateway.code, d.gateway.endsAt.Sub(term).Seconds())
		case <-time.After(streamKill):
			d.signal(syscall.SIGKILL)
			<-d.gateway.ended
			rec.say("the gateway was killed")
		}
	}
	group.Wait()
	rec.say("%d answers cut off by the gateway's own end", cut)
	return cut > 0, nil
}
