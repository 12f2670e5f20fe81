package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// fetchView requests a member's view from its admin listener.
func (h *processHarness) fetchView(p *process) (v memberView, err error) {
	resp, err := h.client.Get("http://" + p.adminAddress + "/members")
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, errors.New(resp.Status)
	}
	return v, json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&v)
}

// readLogLine checks a line that a member has logged.
func (h *processHarness) readLogLine(i int, line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.logs, "g%d %s\n", i, line)
	_, rest, ok := strings.Cut(line, "event=member_changed ")
	if !ok {
		return
	}
	values := map[string]string{}
	for _, word := range strings.Fields(rest) {
		if k, v, ok := strings.Cut(word, "="); ok {
			values[k] = v
		}
	}
	now := h.network.now()
	h.changes++
	if values["to"] != "failed" || values["from"] == "new" {
		return
	}
	start := values["incarnation"]
	if at, dead := h.diedAt[start]; dead {
		h.detections[start] = append(h.detections[start], now-at)
		return
	}
	of, known := h.memberByStart[start]
	switch {
	case !known || !h.processes[of].up || h.processes[of].start != start || h.startedAt == 0:
	case isExcused(h.excuses, now, i, of, len(h.processes)):
		h.excusedVerdicts++
	default:
		h.falseVerdicts++
		h.note("%d holds %d as failed, by %s", i, of, line)
	}
}

// pollViews requests all views at the same time. It returns how many differ from the set of running members, and the
// sum of their shares of a common budget.
func (h *processHarness) pollViews() (unequal int, parts float64) {
	if h.isolated {
		return 0, 0
	}
	living, asked := map[string]bool{}, []*process{}
	h.mu.Lock()
	for _, p := range h.processes {
		if p.up {
			living[p.start] = true
		}
		if p.up && !p.paused {
			asked = append(asked, p)
		}
	}
	h.mu.Unlock()
	views := make([]*memberView, len(asked))
	var work sync.WaitGroup
	for k, p := range asked {
		work.Go(func() {
			if v, err := h.fetchView(p); err == nil {
				views[k] = &v
			}
		})
	}
	work.Wait()
	for _, v := range views {
		if v == nil {
			unequal++
			continue
		}
		parts += v.Part
		seen, wrong := 1, !living[v.Self.Start]
		for _, m := range v.Members {
			if m.State == "alive" || m.State == "draining" {
				seen++
				wrong = wrong || !living[m.Start]
			}
		}
		if wrong || seen != len(living) {
			unequal++
		}
	}
	return unequal, parts
}

// memberView is the part of a member's report that the harness checks; see gossip.View.
type memberView struct {
	Self    struct{ Start string }
	Members []struct{ Start, State string }
	Part    float64
	Size    int

	Conflicts []string
}
