package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/metrics"
)

// The page's clocks. A change is told this long after a watch fell silent, after the wait of a call, and after SIGHUP.
const (
	silentTold  = 6 * time.Second
	reachedTold = 6 * time.Second // after discovery had it and could be reached; this goes before all others
	waitTold    = 2 * time.Second
	movedTold   = 4 * time.Second
)

// agent is discovery's agent on a test's clock. Each connection is treated as the next word says, the last word again
// and again:
//
//	live     every call is answered, watches too
//	deaf     nothing is read
//	silent   calls are read and not answered
//	header   the answer stops in mid-header
//	body     it stops in mid-answer
//	trickle  it comes a byte at a time, a second apart
//	hang     the connection never comes up
//	refuse   it is refused
//	full     calls are turned away
//	busy     they are after 2 s
//	asks     they are, and to come again after 30 s is asked for
//	cut      the connection ends in mid-answer
//	closing  every call is answered, and the connection ends behind each answer
//	late ... the first call is answered, and the second treated as the word says
//	slow ... the connection comes up just in time
type agent struct {
	mu    sync.Mutex
	words []string
	rev   int64
	asked []string      // queries
	over  chan struct{} // closed once nobody calls any more; nil: a minute is nothing on the test's clock
	at    []time.Time
}

// become has the agent hold a version and treat connections that come from now on in other ways.
func (a *agent) become(rev int64, words ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev, a.words = rev, words
}

func (a *agent) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rev
}

func (a *agent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a.mu.Lock()
	word := a.words[0]
	if len(a.words) > 1 {
		a.words = a.words[1:]
	}
	a.at = append(a.at, time.Now())
	a.mu.Unlock()
	word, slow := strings.CutPrefix(word, "slow ")
	if slow {
		time.Sleep(dialFor - time.Millisecond)
	}
	switch word {
	case "refuse":
		return nil, errors.New("connection refused")
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go a.serve(far, word)
	return near, nil
}

func (a *agent) serve(c net.Conn, word string) {
	defer c.Close()
	if word == "deaf" {
		time.Sleep(time.Minute)
		return
	}
	word, late := strings.CutPrefix(word, "late ")
	buf := make([]byte, 4096)
	for n := 0; ; n++ {
		got, err := c.Read(buf)
		if err != nil {
			return
		}
		query, _, _ := strings.Cut(strings.TrimPrefix(string(buf[:got]), "GET /discovery/hosts"), " ")
		a.mu.Lock()
		a.asked = append(a.asked, query)
		a.mu.Unlock()
		var after, wait int64 = -1, 0
		fmt.Sscanf(query, "?after=%d&wait_ms=%d", &after, &wait)
		answered := word == "live" || word == "closing" || late && n == 0
		if answered {
			for end := time.Now().Add(time.Duration(wait) * time.Millisecond); after >= a.held() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
		}
		rev := a.held()
		body := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":"r%d","state":"DRAINING"}]}`, rev, rev)
		if after >= rev {
			body = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, rev)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		switch {
		case word == "closing":
			io.WriteString(c, strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1))
			return
		case answered:
			io.WriteString(c, answer)
			continue
		case word == "busy":
			time.Sleep(2 * time.Second)
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			continue
		case word == "asks":
			io.WriteString(c, "HTTP/1.1 429 Later\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
			continue
		case word == "cut":
			io.WriteString(c, answer[:len(answer)-5])
			return
		case word == "full":
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			continue
		case word == "header":
			io.WriteString(c, answer[:30])
		case word == "body":
			io.WriteString(c, answer[:len(answer)-5])
		case word == "trickle":
			for i := range answer {
				if _, err := c.Write([]byte{answer[i]}); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}
		select { // and then it says nothing
		case <-time.After(time.Minute):
		case <-a.over:
		}
		return
	}
}

// watched follows an agent and tells when each version was told, counted from the start, till the time is over.
func watched(t *testing.T, a *agent, known int64, seed uint64, over time.Duration, meanwhile func(*Watcher)) map[string]time.Duration {
	t.Helper()
	var mu sync.Mutex
	told := map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := NewWatcher("agent:1", Snapshot{Rev: known, All: true}, func(l core.EndpointList) {
			mu.Lock()
			defer mu.Unlock()
			for _, h := range l.Hosts {
				if _, ok := told[h.Endpoint.Member]; !ok {
					told[h.Endpoint.Member] = time.Since(start)
				}
			}
		}, backoff.New(300, seed), &metrics.Counters{})
		w.dial = a.dial
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		if meanwhile != nil {
			go meanwhile(w)
		}
		time.Sleep(over)
		cancel()
		<-ended
		time.Sleep(2 * time.Minute) // the agent's connections end
	})
	return told
}

// TestSilentWatchIsOpenedAnew has a watch fall silent in each way right after its first answer, which is the worst moment, and
// a change come at once. It must be told before it counts as told: 6 s after the silence began, whatever the first call
// anew meets, too, where that fails within its time.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for _, silence := range []string{"late silent", "late header", "late body", "late trickle", "deaf", "silent", "header", "body",
		"trickle", "hang", "refuse"} {
		for _, then := range []string{"live", "hang", "refuse"} {
			for seed := range uint64(20) {
				a := &agent{words: []string{silence, then, "live"}, rev: 2}
				told := watched(t, a, 2, seed, 10*time.Second, func(*Watcher) {
					time.Sleep(glanceFor + time.Millisecond) // the second call has been made
					a.mu.Lock()
					defer a.mu.Unlock()
					a.rev = 3
				})
				if at, ok := told["r3"]; !ok || at > silentTold-100*time.Millisecond {
					t.Fatalf("%s, then %s, seed %d: told %t after %v", silence, then, seed, ok, at)
				}
			}
		}
	}
}

// failures are all ways in which a call may fail, and late ones all in which a watch may.
var failures = []string{"deaf", "silent", "header", "body", "trickle", "hang", "refuse", "full", "busy", "asks", "cut", "slow silent", "slow busy"}

// TestAnyTwoFailuresAreInTime has a change come right after an answer or a first call, and the next two calls fail, each in
// every way: what was held and could be reached all the time is told by then.
func TestAnyTwoFailuresAreInTime(t *testing.T) {
	first := slices.Clone(failures)
	for _, word := range failures {
		if word != "hang" && word != "refuse" && !strings.HasPrefix(word, "slow") {
			first = append(first, "late "+word)
		}
	}
	worst, order := time.Duration(0), ""
	for _, one := range first {
		for _, two := range failures {
			for seed := range uint64(3) {
				a := &agent{words: []string{one, two, "live"}, rev: 2}
				told := watched(t, a, 2, seed, 12*time.Second, func(*Watcher) {
					if strings.HasPrefix(one, "late ") {
						time.Sleep(glanceFor + time.Millisecond) // the second call has been made
					}
					a.mu.Lock()
					defer a.mu.Unlock()
					a.rev = 3
				})
				at, ok := told["r3"]
				if at > worst {
					worst, order = at, one+", then "+two
				}
				if !ok || at > reachedTold-100*time.Millisecond {
					t.Fatalf("%s, then %s, seed %d: told %t after %v", one, two, seed, ok, at)
				}
			}
		}
	}
	t.Logf("the worst order takes %v: %s", worst, order)
}

// TestOutageAndReturn has an agent be away in each way for a long time, and come back at each moment of a call and of the wait
// behind it. What it has is told within 6 s, also where the first call after the return is silent or turned away;
// failures do not add up to more.
func TestOutageAndReturn(t *testing.T) {
	for _, word := range failures {
		for _, then := range []string{"live", "silent", "busy", "asks"} {
			for seed := range uint64(6) {
				a := &agent{words: []string{word}, rev: 2}
				away := 30*time.Second + time.Duration(seed)*550*time.Millisecond
				told := watched(t, a, 1, seed, away+10*time.Second, func(*Watcher) {
					time.Sleep(away)
					a.become(2, then, "live")
				})
				most := reachedTold - 100*time.Millisecond
				if then == "live" && word != "full" && word != "asks" && word != "busy" {
					most = reachedTold - 2*time.Second
				}
				if at, ok := told["r2"]; !ok || at < away || at > away+most {
					t.Fatalf("%s, then %s, seed %d: told %t after %v of %v", word, then, seed, ok, at, away)
				}
				for i := 1; i < len(a.at); i++ {
					if gap := a.at[i].Sub(a.at[i-1]); gap < 100*time.Millisecond && a.at[i].Sub(a.at[0]) < away {
						t.Fatalf("%s, seed %d: called again after %v", word, seed, gap)
					}
				}
			}
		}
	}
}

// TestWatchGoesOnAfterACloseInOrder has the connection end behind each answer: that is no failure, and the next call waits
// for news as it would on the old connection. A service is not called more often for it.
func TestWatchGoesOnAfterACloseInOrder(t *testing.T) {
	a := &agent{words: []string{"closing"}, rev: 2}
	const over, news = 10 * time.Second, 5 * time.Second
	told := watched(t, a, 2, 1, over, func(*Watcher) {
		time.Sleep(news)
		a.become(3, "closing")
	})
	if at, ok := told["r3"]; !ok || at > news+200*time.Millisecond {
		t.Errorf("told %t after %v", ok, at)
	}
	if most := int(over/waitFor) + 3; len(a.asked) > most || len(a.asked) < 4 {
		t.Errorf("%d calls in %v", len(a.asked), over)
	}
	for _, q := range a.asked[1:] {
		if !strings.HasSuffix(q, fmt.Sprintf("&wait_ms=%d", waitFor.Milliseconds())) {
			t.Errorf("asked %s", q)
		}
	}
}

// TestFullIsNotSilent keeps the two kinds of failure apart: who is turned away waits by the fleet's size.
func TestFullIsNotSilent(t *testing.T) {
	a := &agent{words: []string{"full"}, rev: 2}
	watched(t, a, 1, 1, 10*time.Second, nil)
	if len(a.at) < 2 || a.at[1].Sub(a.at[0]) < 2*time.Second {
		t.Errorf("one of 300 that was turned away called at %v", a.at)
	}
}

// TestMoveIsToldInTime moves a watch, from one that waits or is silent, to an address whose first connection may be silent
// too: what is held there must be told within 4 s.
func TestMoveIsToldInTime(t *testing.T) {
	for _, old := range []string{"live", "silent", "hang", "refuse", "trickle", "full"} {
		for _, next := range []string{"live", "deaf", "silent", "header", "body", "trickle", "hang", "refuse"} {
			for seed := range uint64(5) {
				const at = 7 * time.Second
				a := &agent{words: []string{old}, rev: 2}
				told := watched(t, a, 2, seed, at+movedTold, func(w *Watcher) {
					time.Sleep(at)
					a.become(3, next, "live")
					w.SetAddress("agent:2")
				})
				if _, ok := told["r3"]; !ok {
					t.Fatalf("from %s to %s, seed %d: not told within %v", old, next, seed, movedTold)
				}
			}
		}
	}
}

// TestFirstCallTellsAtOnce holds the first call of a process against the list that its file names: it is made at once and
// hardly waits, and Tried is closed by its end, in time also where discovery says nothing.
func TestFirstCallTellsAtOnce(t *testing.T) {
	for word, most := range map[string]time.Duration{"live": 100 * time.Millisecond, "refuse": 0, "hang": dialFor, "full": 0,
		"busy": 2 * time.Second, "cut": 0, "silent": glanceFor + glancePatience} {
		a := &agent{words: []string{word}, rev: 2}
		watched(t, a, 2, 1, 5*time.Second, func(w *Watcher) {
			start := time.Now()
			<-w.FirstCallDone()
			if d := time.Since(start); d > most {
				t.Errorf("%s: the first call ended after %v", word, d)
			}
		})
	}
	a := &agent{words: []string{"live"}, rev: 2}
	watched(t, a, 2, 1, 10*time.Second, nil)
	for i, q := range a.asked {
		if want := []string{"?after=2&wait_ms=50", "?after=2&wait_ms=1500"}[min(i, 1)]; q != want {
			t.Errorf("call %d: %s, want %s", i, q, want)
		}
	}
	w := NewWatcher("", Snapshot{Rev: -1}, nil, backoff.New(1, 1), &metrics.Counters{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	<-w.FirstCallDone()
}

// TestCallsFit holds the figures against the page: the times of one call, and of all orders in which two calls fail, whatever
// the seeds. The third is answered at once.
func TestCallsFit(t *testing.T) {
	const again = 100 * time.Millisecond // pace's first wait, once a call was answered
	first, later := backoff.MaxFailureDelay(1), backoff.MaxFailureDelay(1000)
	second, glance, watch := backoff.MaxFailureDelay(2), glanceFor+glancePatience, waitFor+patience
	if first != again || patience > waitTold || glance > movedTold-again-dialFor-second {
		t.Error("a call may be silent for longer than its wait and 2 s, or a move for longer than 4 s")
	}
	const busy = 100 * time.Millisecond // for the machine
	for order, sum := range map[string]time.Duration{
		"a silent watch, a silent connection":                        watch + first + dialFor + glance + second,
		"a silent watch, a call turned away":                         watch + first + backoff.MaxRejectedDelay,
		"a silent watch, no connect":                                 watch + first + dialFor + second,
		"turned away, a silent connection":                           backoff.MaxRejectedDelay + dialFor + glance + second,
		"turned away, a call answered late":                          backoff.MaxRejectedDelay + dialFor + glance,
		"an outage, its last call made too early, then a silent one": glance + later + dialFor + glance + later,
		"turned away twice":                                          2*backoff.MaxRejectedDelay - 200*time.Millisecond, // pace.TestWaitsGrowUpToTheBound holds it
		"an outage, then turned away":                                glance + later + backoff.MaxRejectedDelay,
		"a first list that goes silent":                              wholeFor + first + dialFor,
	} {
		t.Logf("%-60s %v", order, sum)
		if sum > reachedTold-busy {
			t.Errorf("%s: %v", order, sum)
		}
	}
	if backoff.MaxRejectedDelay < glanceFor+2*time.Second+again {
		t.Error("a service that turns a call away after 2 s is asked again without a wait")
	}
}
