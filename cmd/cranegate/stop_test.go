package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// again ends the program at once, and starts it with its configuration changed, alone in a folder of its own.
func (w *world) again(change func(config map[string]any)) {
	w.t.Helper()
	w.cmd.Process.Kill()
	w.cmd.Wait()
	change(w.config)
	w.write()
	w.out = &output{}
	w.cmd = exec.Command(program)
	w.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+w.path, "TMPDIR="+w.t.TempDir())
	w.launch(w.cmd)
}

func (w *world) serving() {
	w.t.Helper()
	w.until("serving", func() bool { return strings.Contains(w.out.String(), "event=serving") })
}

// exits waits for the program's end, which must be in order.
func (w *world) exits() {
	w.t.Helper()
	if err := w.cmd.Wait(); err != nil {
		w.t.Errorf("exit: %v", err)
	}
}

// signal sends signals, and returns once they have done what they do.
func (w *world) signal(signals ...syscall.Signal) {
	w.t.Helper()
	for _, s := range signals {
		before := strings.Count(w.out.String(), "event=counters")
		w.cmd.Process.Signal(s)
		w.cmd.Process.Signal(syscall.SIGUSR1)
		w.until("counters after "+s.String(), func() bool { return strings.Count(w.out.String(), "event=counters") > before })
	}
}

// TestSecondSignal: a program that ends already is told so again, in each way, and still answers what it has taken.
func TestSecondSignal(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{})
	w := start(t, func(id, _ string, _ bool) fake.Act {
		if id == "slow" {
			close(arrived)
			<-hold
		}
		return fake.Serve
	})
	p, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan fake.Reply, 1)
	go func() {
		r, _ := p.Ask(fmt.Sprintf(write, "slow", "slow"))
		answer <- r
	}()
	<-arrived
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.until("the stop", func() bool { return strings.Contains(w.out.String(), "event=stopping") })
	w.signal(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM)
	close(hold)
	if r := <-answer; r.Outcome != "served" {
		t.Errorf("the request under way: %+v", r)
	}
	w.exits()
}

// TestStopBeforeTheFirstList ends a program that knows of no host, as discovery accepts its call and is silent.
func TestStopBeforeTheFirstList(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		w := start(t, nil)
		silent := listen(t)
		called := make(chan net.Conn, 10)
		go func() {
			for {
				c, err := silent.Accept()
				if err != nil {
					return
				}
				called <- c
			}
		}()
		w.again(func(c map[string]any) {
			c["discovery"] = silent.Addr().String()
			delete(c, "known")
		})
		defer (<-called).Close()
		w.cmd.Process.Signal(s)
		w.exits()
		if log := w.out.String(); strings.Contains(log, "event=listening front=postgres") || !strings.Contains(log, "event=stopping") {
			t.Errorf("it listened, or did not end by itself:\n%s", log)
		}
		if c, err := net.Dial("tcp", w.pg); err == nil {
			c.Close()
			t.Error("somebody listens still")
		}
	}
}

// TestStopWhileHostsHang ends a program whose hosts take requests and say nothing, with deadlines from 0.4 s to 5 s. Each
// request has its answer, also where its own time would go on past the kill; and the program is not cut short.
func TestStopWhileHostsHang(t *testing.T) {
	for _, deadline := range []float64{0.4, 2, 5} {
		t.Run(fmt.Sprint(deadline, " s"), func(t *testing.T) {
			hold, out := make(chan struct{}), make(chan string, 100)
			defer close(hold)
			w := start(t, func(id, text string, _ bool) fake.Act {
				if strings.Contains(text, "INSERT") {
					out <- id
				}
				<-hold
				return fake.Serve
			})
			w.again(func(c map[string]any) {
				for _, k := range c["settings"].(map[string]any)["classes"].([]any) {
					k.(map[string]any)["deadlineS"] = deadline
					k.(map[string]any)["aimS"] = deadline / 2
				}
			})
			w.serving()
			var clients []*fake.PostgresClient
			for range 4 {
				p, err := fake.DialPostgres(w.dial(w.pg), "")
				if err != nil {
					t.Fatal(err)
				}
				clients = append(clients, p)
			}
			for i, p := range clients {
				form := []string{read, write}[i%2]
				text := strings.Replace(fmt.Sprintf(form, fmt.Sprint("h", i), fmt.Sprint("h", i)), "d=2000", fmt.Sprintf("d=%d", int(deadline*1000)), 1)
				p.Write(pgwire.Append(nil, 'Q', text, "\x00"))
			}
			w.until("the writes are with their host", func() bool { return len(out) >= 2 })
			began := time.Now()
			w.cmd.Process.Signal(syscall.SIGTERM)
			for i, p := range clients {
				if r, err := p.Read(); err != nil || r.Outcome == "served" {
					t.Errorf("client %d: %+v, %v", i, r, err)
				}
			}
			t.Logf("all are answered %v after the signal", time.Since(began).Round(time.Millisecond))
			for _, p := range clients {
				p.Close()
			}
			w.exits()
			if strings.Contains(w.out.String(), "event=stopped_with_clients") {
				t.Error("it was cut short")
			}
		})
	}
}
