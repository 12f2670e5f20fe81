package soak

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// callAdmin calls the admin listener and returns the status.
func (p *process) callAdmin(ctx context.Context, method, path string) (status int, err error) {
	status, _, err = p.readAdmin(ctx, method, path)
	return status, err
}

// readAdmin calls the admin listener and returns the status and the body.
func (p *process) readAdmin(ctx context.Context, method, path string) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, adminCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.adminAddress+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// checkCounters reports the violations in the process's counters, because a paused collector may not have read their
// log lines.
func (p *process) checkCounters() {
	_, text, err := p.readAdmin(p.gateway.scenario.ctx, http.MethodGet, "/counters")
	if err != nil || !strings.Contains(text, "requests=") {
		p.gateway.scenario.checker.report(ruleNotServing, p.String(), "its counters can't be read: %v", err)
	}
	if n := strings.Index(text, "\nviolations="); n >= 0 {
		line, _, _ := strings.Cut(text[n+1:], "\n")
		p.gateway.scenario.checker.report(ruleViolation, p.String(), "%s", "counted: "+line)
	}
}

// waitReady waits until the process is ready. It returns false if that takes longer than readyTimeout or the process
// has ended.
func (p *process) waitReady(ctx context.Context) bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		if status, err := p.callAdmin(ctx, http.MethodGet, "/_ready"); err == nil && status == http.StatusOK {
			p.wasReady.Store(true)
			return true
		}
		select {
		case <-p.done:
			return false
		default:
		}
	}
	return false
}
