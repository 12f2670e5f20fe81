package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
)

const readyIn = 10 * time.Second // from the start of the process to the first empty query that is answered

// fleetOf starts a number of the program's processes at once, each with a configuration of its own, and tells when each answered an empty
// query, counted from its start.
func (w *world) fleetOf(n int) []time.Duration {
	w.t.Helper()
	took := make(chan time.Duration, n)
	for range n {
		w.pg, w.path = free(w.t), filepath.Join(w.t.TempDir(), "config.json")
		w.config["listen"], w.config["admin"] = w.pg, free(w.t)
		w.write()
		w.cmd = exec.Command(program)
		w.cmd.Env = append(w.cmd.Environ(), "PROXY_CONFIG="+w.path, "TMPDIR="+filepath.Dir(w.path))
		since, at := time.Now(), w.pg
		w.launch(w.cmd)
		go func() {
			for time.Since(since) < patience {
				if c, err := net.Dial("tcp", at); err == nil {
					c.SetDeadline(time.Now().Add(patience))
					p, err := fake.DialPostgres(c, "")
					if err == nil {
						if r, err := p.Ask(";"); err == nil && r.Outcome == "empty" {
							c.Close()
							break
						}
					}
					c.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
			took <- time.Since(since)
		}()
	}
	var all []time.Duration
	for range n {
		all = append(all, <-took)
	}
	return all
}

// TestReadyWhateverDiscoveryDoes starts the program beside each kind of discovery, with and without a list of its own, and
// seven at once on half a core: each answers the empty query in time, and serves.
// Without a list it can't, so it listens once discovery is back.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	full := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Retry-After", "30")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, x := range []struct {
		name  string
		known bool // by the file
		hosts int
		n     int
		// discovery answers a call, the count of which is told, beside what would answer it well; nil: it is down
		discovery func(rw http.ResponseWriter, r *http.Request, call int64, well http.Handler)
	}{
		{"down", true, 2, 1, nil},
		{"down, no list, back after a second", false, 2, 1, nil},
		{"full", true, 2, 1, func(rw http.ResponseWriter, r *http.Request, _ int64, _ http.Handler) { full(rw, r) }},
		{"full at first, no list, one of 300", false, 2, 1, func(rw http.ResponseWriter, r *http.Request, call int64, well http.Handler) {
			if call < 2 {
				full(rw, r)
			} else {
				well.ServeHTTP(rw, r)
			}
		}},
		{"silent", true, 2, 1, func(_ http.ResponseWriter, r *http.Request, _ int64, _ http.Handler) { <-r.Context().Done() }},
		{"silent in the middle", true, 300, 1, half},
		{"silent in the middle, no list", false, 300, 1, half},
		{"300 hosts, half a core, seven at once", true, 300, 7, func(rw http.ResponseWriter, r *http.Request, _ int64, well http.Handler) { well.ServeHTTP(rw, r) }},
		{"300 hosts, half a core, seven at once, no list", false, 300, 7, func(rw http.ResponseWriter, r *http.Request, _ int64, well http.Handler) { well.ServeHTTP(rw, r) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			w := start(t, nil)
			w.cmd.Process.Kill()
			w.cmd.Wait()
			for i := range x.hosts - 2 { // in other groups: no request goes there
				w.targets = append(w.targets, discovery.Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: w.targets[0].Endpoint, Zone: "nuernberg",
					Group: 1 + i, State: "SERVING", Capacity: 1})
			}
			w.discovery.Set(w.targets)
			down := free(t)
			w.config["discovery"] = down
			if x.discovery == nil && !x.known {
				time.AfterFunc(time.Second, func() {
					if l, err := net.Listen("tcp", down); err == nil {
						t.Cleanup(func() { l.Close() })
						http.Serve(l, w.discovery)
					}
				})
			} else if x.discovery != nil {
				var calls atomic.Int64
				l := listen(t)
				w.config["discovery"] = l.Addr().String()
				go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					x.discovery(rw, r, calls.Add(1)-1, w.discovery)
				}))
			}
			delete(w.config, "known")
			if x.known {
				w.config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: w.targets}
			} else {
				w.config["known"] = discovery.Snapshot{Rev: -1}
			}
			if x.hosts == 300 {
				w.config["limits"].(map[string]any)["cores"] = 0.5
			}
			if strings.Contains(x.name, "of 300") {
				w.config["settings"].(map[string]any)["balancers"] = 300
			}
			all := w.fleetOf(x.n)
			for _, took := range all {
				if took > readyIn {
					t.Errorf("ready after %v", took)
				}
			}
			t.Logf("ready after %v", all)
			w.until("a request is served", func() bool {
				c, err := net.Dial("tcp", w.pg)
				if err != nil {
					return false
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				p, err := fake.DialPostgres(c, "")
				if err != nil {
					return false
				}
				r, err := p.Ask(fmt.Sprintf(read, "r", "r"))
				return err == nil && r.Outcome == "served"
			})
		})
	}
}

// TestNoFrontWaitsForAnothersList starts the program with both fronts, the platform's without a list and with discovery down:
// the other front serves, and the platform's does once discovery is back.
func TestNoFrontWaitsForAnothersList(t *testing.T) {
	w := start(t, nil)
	w.cmd.Process.Kill()
	w.cmd.Wait()
	down := free(t)
	w.config["discovery"], w.config["known"] = down, discovery.Snapshot{Rev: -1}
	w.write()
	operator := filepath.Join(filepath.Dir(w.path), "operator.toml")
	env := append(w.cmd.Env, "PROXY_DISCOVERY="+down)
	w.out = &output{}
	w.cmd = exec.Command(program, "-operator", operator)
	w.cmd.Env = env
	w.launch(w.cmd)
	w.until("a request is served by the other front", func() bool {
		c, err := net.Dial("tcp", w.my)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		m, err := fake.DialMySQL(c, 0)
		if err != nil {
			return false
		}
		r, err := m.Query(fmt.Sprintf(read, "m", "m"))
		return err == nil && r.Outcome == "served"
	})
	if strings.Contains(w.out.String(), "front=postgres") {
		t.Error("a front without a list takes clients")
	}
	l, err := net.Listen("tcp", down)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go http.Serve(l, w.discovery)
	w.until("all fronts serve", func() bool { return strings.Contains(w.out.String(), "event=serving fronts=2") })
}

// half stops in the middle of the first list, and answers well from then on.
func half(rw http.ResponseWriter, r *http.Request, call int64, well http.Handler) {
	if call > 0 {
		well.ServeHTTP(rw, r)
		return
	}
	var whole bytes.Buffer
	json.NewEncoder(&whole).Encode(discovery.Snapshot{Rev: 1, All: true, Targets: make([]discovery.Target, 300)})
	rw.Header().Set("Content-Length", fmt.Sprint(whole.Len()))
	rw.Write(whole.Bytes()[:whole.Len()/2])
	rw.(http.Flusher).Flush()
	<-r.Context().Done()
}
