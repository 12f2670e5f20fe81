package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/config"
	"cranegate/internal/fake"
	"cranegate/internal/frontend"
)

// relaunch starts the program anew, with the configuration as it is now and the platform's front alone, under a limit on open
// files of its own.
func (w *world) relaunch(files int) {
	w.t.Helper()
	w.write()
	w.cmd.Process.Kill()
	w.cmd.Wait()
	env := slices.DeleteFunc(w.cmd.Env, func(s string) bool { return strings.HasPrefix(s, "PROXY_DISCOVERY=") })
	w.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", files, program))
	w.cmd.Env = append(env, "PROXY_DISCOVERY="+w.config["discovery"].(string))
	w.launch(w.cmd)
}

// open is how many descriptors the program holds.
func (w *world) open() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	return len(names)
}

// TestIdleClientsTakeNoRoomFromDiscovery has clients that say nothing, that only say who they are, and that are idle after a
// request come by hundreds, and callers that finish nothing at the second address, while discovery is down. Once that is
// back the list is heard and a request is served by the host that is not drained, with few descriptors; never is one too
// many open.
func TestIdleClientsTakeNoRoomFromDiscovery(t *testing.T) {
	for _, x := range []struct{ sockets, files int }{{40, 40}, {64, 64}, {128, 128}, {1024, 100}} {
		t.Run(fmt.Sprintf("%d of %d", x.sockets, x.files), func(t *testing.T) {
			w := start(t, nil)
			down := free(t)
			w.config["discovery"] = down
			w.config["limits"].(map[string]any)["sockets"] = x.sockets
			w.relaunch(x.files)
			var first net.Conn
			w.until("a listener", func() bool { var err error; first, err = net.Dial("tcp", w.pg); return err == nil })
			first.Close()

			stop := make(chan struct{})
			var crowd sync.WaitGroup
			var served atomic.Int64
			defer crowd.Wait()
			defer close(stop)
			for i := range 2 * x.files { // each holds its connection, and comes again when that ends
				crowd.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
						address := w.pg
						if i%8 == 7 {
							address = w.admin
						}
						c, err := net.Dial("tcp", address)
						if err != nil {
							continue
						}
						go func() { <-stop; c.Close() }()
						if i%8 == 7 {
							io.WriteString(c, "GET /counters HTTP/1.1\r\n")
						} else if i%3 > 0 {
							p, err := fake.DialPostgres(c, "")
							if id := fmt.Sprint("c", i, "-", n); err == nil && i%3 > 1 {
								if r, err := p.Ask(fmt.Sprintf(read, id, id)); err == nil && r.Outcome == "served" {
									served.Add(1)
								}
							}
						}
						io.Copy(io.Discard, c)
						c.Close()
					}
				})
			}
			most := 0
			look := func() bool { most = max(most, w.open()); return false }
			w.until("the crowd has been served", func() bool { look(); return served.Load() >= 20 })
			for range 100 {
				look()
				time.Sleep(5 * time.Millisecond)
			}

			w.targets = slices.Clone(w.targets)
			w.targets[1].State = "DRAINING"
			w.discovery.Set(w.targets)
			l, err := net.Listen("tcp", down)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go http.Serve(l, w.discovery)
			back := time.Now()
			w.until("the list", func() bool {
				look()
				w.cmd.Process.Signal(syscall.SIGUSR1)
				return strings.Contains(w.out.String(), "list_changes=1")
			})
			if took := time.Since(back); took > 12*time.Second { // 6 s on a machine that does nothing else
				t.Errorf("the list was heard after %v", took)
			}
			w.until("a request is served", func() bool {
				look()
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
				r, err := p.Ask(fmt.Sprintf(read, "last", "last"))
				return err == nil && r.Outcome == "served"
			})
			if n := w.hosts[1].Ran("last"); n > 0 {
				t.Errorf("it ran %d times at the host that drains", n)
			}
			if strings.Contains(w.out.String(), "too many open files") || most > min(x.sockets, x.files) {
				t.Errorf("%d descriptors were open", most)
			}
			t.Logf("at most %d descriptors were open", most)
		})
	}
}

// TestDescriptorsAddUp holds the shares against each limit: they never add up to more, all get something, and a limit that is
// too low is told.
func TestDescriptorsAddUp(t *testing.T) {
	for limit := range 1100 {
		for fronts := range 3 {
			for i := range 8 {
				second, checks, peers := i&1 > 0, i&2 > 0, i&4 > 0
				d, err := allocateDescriptors(config.Limits{Sockets: limit}, 0, descriptorUsers{frontends: fronts, admin: second, checks: checks, gossip: peers})
				var few TooFewDescriptorsError
				if errors.As(err, &few) {
					if few.Min <= limit || few.Min > 140 || limit == 0 {
						t.Fatalf("%d: %v", limit, err)
					}
					continue
				}
				n := max(1, fronts)
				sum := d.clients + frontend.RejectQueueSize(d.clients) + n*(d.backendConns+frontendDescriptors+discoveryDescriptors) + runtimeDescriptors
				for on, cost := range map[*bool]int{&second: hotRestartDescriptors + listenerDescriptors + d.adminCallers, &checks: checkDescriptors, &peers: gossipDescriptors} {
					if *on {
						sum += cost
					}
				}
				if err != nil || sum > d.limit || d.limit > maxDescriptors || d.clients < 1 || d.backendConns < 1 || d.adminCallers < 2 || d.limit > 2*sum {
					t.Fatalf("%d with %d fronts: %+v, together %d, %v", limit, fronts, d, sum, err)
				}
			}
		}
	}
	if d, err := allocateDescriptors(config.Limits{Sockets: 1024}, 100, descriptorUsers{frontends: 1, admin: true}); err != nil || d.limit != 100 {
		t.Errorf("100 files: %+v, %v", d, err)
	}
}
