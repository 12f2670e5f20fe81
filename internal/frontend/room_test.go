package frontend_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// guest is a client as the model of a full room sees it.
type guest struct {
	id    int
	kind  string // "silent", "greeted" without a request, "asked", "half" of a message sent, or "open": its request is out
	conn  net.Conn
	since time.Time // when it came to this
	ended chan struct{}
}

// due is when it has to make room, if it is one of those that do.
func (g *guest) due() (time.Time, bool) {
	after, ok := map[string]time.Duration{"silent": 100 * time.Millisecond, "greeted": 100 * time.Millisecond, "asked": 250 * time.Millisecond}[g.kind]
	return g.since.Add(after), ok
}

// clear says that no time limit has changed it yet.
func (g *guest) clear() bool {
	after, ok := map[string]time.Duration{"silent": 2 * time.Second, "half": 500 * time.Millisecond, "open": 200 * time.Millisecond}[g.kind]
	return !ok || time.Since(g.since) < after
}

func (g *guest) gone() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// TestFullRoom plays random clients against a room of four places. A newcomer finds a place if any client is
// silent, or has asked nothing, or has been idle long enough, or soon will be; that one is let go and no other, never one with a request
// open or half read; and where all are busy the newcomer is told so at once. Without it, clients that ask once and
// stay, or never say a word, keep all others out.
func TestFullRoom(t *testing.T) {
	type step struct {
		After time.Duration
		Kind  string
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{time.Duration(rapid.SampledFrom([]int{1, 20, 90, 400, 1900}).Draw(t, "after")) * time.Millisecond,
			rapid.SampledFrom([]string{"silent", "greeted", "asked", "asked", "half", "open"}).Draw(t, "kind")}
	}), 5, 14)
	sure, fulls := 0, 0
	check(t, steps, func(plan []step) error {
		hold := make(chan struct{})
		rig := newRigFor(4, 1, false, &fake.Host{Primary: true, Act: func(id, _ string, _ bool) fake.Act {
			if strings.HasPrefix(id, "open") {
				<-hold
			}
			return fake.Serve
		}})
		defer rig.close()
		defer close(hold)
		var in []*guest
		for i, s := range plan {
			time.Sleep(s.After)
			synctest.Wait()
			var stay []*guest
			clear, due := true, time.Time{}
			for _, g := range in {
				if g.gone() {
					continue
				}
				stay, clear = append(stay, g), clear && g.clear()
				if d, ok := g.due(); ok && (due.IsZero() || d.Before(due)) {
					due = d
				}
			}
			full, now := len(stay) == 4, time.Now()
			wait := time.Duration(0)
			if full {
				wait = max(0, due.Sub(now))
			}
			room := !full || !due.IsZero() && wait < 280*time.Millisecond
			if !due.IsZero() && wait >= 280*time.Millisecond && wait < 320*time.Millisecond {
				clear = false // it may be either
			}
			g := &guest{id: i, kind: s.Kind, ended: make(chan struct{}), conn: rig.connect()}
			defer g.conn.Close()
			got, err := g.play(wait)
			if err != nil {
				return fmt.Errorf("client %d (%s): %w", i, s.Kind, err)
			}
			// More than half of the places are idle after a request: those idle longest go, if they are for long.
			old := func(x *guest) bool { return x.kind == "asked" && time.Since(x.since) >= 250*time.Millisecond }
			idle, thins, left := 0, got && s.Kind == "asked", 0
			for _, x := range stay {
				if x.kind == "asked" && !x.gone() {
					idle++
				}
			}
			for _, x := range stay {
				if thins && clear && old(x) && !x.gone() && idle >= 2 {
					return fmt.Errorf("client %d: nobody was thinned out", i)
				} else if x.gone() && thins && old(x) {
					left = max(left, 1)
				} else if d, rests := x.due(); x.gone() {
					if left++; clear && (!full || !rests || d.Sub(due) > 20*time.Millisecond) {
						return fmt.Errorf("client %d (%s) drove out one (%s) that had to stay", i, s.Kind, x.kind)
					}
				}
			}
			if !clear {
				return nil // what came of it the model can't tell
			}
			if sure++; full {
				fulls++
			}
			if got != room || full && room && left < 1 {
				return fmt.Errorf("client %d (%s) has a place: %v, want %v; %d let go", i, s.Kind, got, room, left)
			}
			if in = stay; got {
				in = append(in, g)
			}
		}
		return nil
	})
	if sure < 300 || fulls < 100 {
		t.Errorf("only %d steps were checked, %d of them on a full room", sure, fulls)
	}
}

// play does what its kind does, and tells whether it has a place.
func (g *guest) play(wait time.Duration) (bool, error) {
	c, err := (*fake.PostgresClient)(nil), error(nil)
	if g.kind != "silent" {
		if c, err = fake.DialPostgres(g.conn, ""); err != nil {
			return false, nil // turned away
		}
	}
	switch g.kind {
	case "silent":
		b := make([]byte, 100)
		g.conn.SetReadDeadline(time.Now().Add(wait + 15*time.Millisecond))
		if n, err := g.conn.Read(b); n > 0 {
			if code := pgwire.Field(b[5:n], 'C'); string(code) != "53300" {
				return false, fmt.Errorf("told %q", b[:n])
			}
			return false, nil
		} else if err == io.EOF {
			return false, fmt.Errorf("closed without a word")
		}
		g.conn.SetReadDeadline(time.Time{})
		g.since = time.Now().Add(-15 * time.Millisecond)
	case "asked":
		if r, err := c.Ask(fmt.Sprintf("/* id=asked%d,c=look,d=900,cluster=4 */ SELECT v FROM records WHERE k = 'a'", g.id)); err != nil || r.Outcome == "" { // shed, perhaps, where another's request is slow
			return false, fmt.Errorf("%+v, %v", r, err)
		}
	case "half":
		g.conn.Write([]byte{'Q', 0, 0})
	case "open":
		g.conn.Write(pgwire.Append(nil, 'Q',
			fmt.Sprintf("/* id=open%d,c=look,d=900,cluster=4 */ SELECT v FROM records WHERE k = 'a'\x00", g.id)))
	}
	if g.since.IsZero() {
		g.since = time.Now()
	}
	go func() { io.Copy(io.Discard, g.conn); close(g.ended) }()
	synctest.Wait()
	return true, nil
}
