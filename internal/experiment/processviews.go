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
func (h *processHarness) fetchView(p *process) (view memberView, err error) {
	resp, err := h.client.Get("http://" + p.adminAddress + "/members")
	if err != nil {
		return view, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return view, errors.New(resp.Status)
	}
	return view, json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&view)
}

// readLogLine copies a line that a member has logged, and checks the verdict if the line reports one.
func (h *processHarness) readLogLine(observer int, line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.logs, "g%d %s\n", observer, line)
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
	if at, ended := h.endedAt[start]; ended {
		h.detections[start] = append(h.detections[start], now-at)
		return
	}
	accused, known := h.memberByStart[start]
	switch {
	case !known || !h.processes[accused].up || h.processes[accused].start != start || h.startedAt == 0:
	case isExcused(h.excuses, now, observer, accused, len(h.processes)):
		h.excusedVerdicts++
	default:
		h.falseVerdicts++
		h.note("%d holds %d as failed, by %s", observer, accused, line)
	}
}

// pollViews requests all views at the same time. It returns how many differ from the set of running members, and the
// sum of their shares of a common budget.
func (h *processHarness) pollViews() (diverged int, totalShare float64) {
	if h.isolated {
		return 0, 0
	}
	running, polled := map[string]bool{}, []*process{}
	h.mu.Lock()
	for _, p := range h.processes {
		if p.up {
			running[p.start] = true
		}
		if p.up && !p.paused {
			polled = append(polled, p)
		}
	}
	h.mu.Unlock()
	views := make([]*memberView, len(polled))
	var work sync.WaitGroup
	for i, p := range polled {
		work.Go(func() {
			if view, err := h.fetchView(p); err == nil {
				views[i] = &view
			}
		})
	}
	work.Wait()
	for _, view := range views {
		if view == nil {
			diverged++
			continue
		}
		totalShare += view.BudgetShare
		if !view.matches(running) {
			diverged++
		}
	}
	return diverged, totalShare
}

// memberView is the part of a member's report that the harness checks; see gossip.View.
type memberView struct {
	Self struct {
		Start string `json:"start"`
	} `json:"self"`
	Members []struct {
		Start string `json:"start"`
		State string `json:"state"`
	} `json:"members"`
	BudgetShare float64  `json:"part"`
	Conflicts   []string `json:"conflicts"`
}

// known returns the number of members that the member considers present, including itself.
func (v *memberView) known() int {
	known := 1
	for _, member := range v.Members {
		if memberPresent(member.State) {
			known++
		}
	}
	return known
}

// memberPresent reports whether a state of a member counts as present.
func memberPresent(state string) bool { return state == "alive" || state == "draining" }

// matches reports whether the view is exactly the set of running members, given by their starts.
func (v *memberView) matches(running map[string]bool) bool {
	if !running[v.Self.Start] || v.known() != len(running) {
		return false
	}
	for _, member := range v.Members {
		if memberPresent(member.State) && !running[member.Start] {
			return false
		}
	}
	return true
}
