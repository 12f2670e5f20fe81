package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cranegate/routing"
)

// request decodes a request.
func (v *vocabulary) request(f *fields) (routing.Request, error) {
	request := routing.Request{ID: f.id(), Tenant: -1}
	class := f.required()
	tenant := f.word()
	var ok bool
	if request.Class, ok = v.classIndex[class]; !ok && f.err == nil {
		return request, fmt.Errorf("unknown class %q", class)
	}
	if i, ok := v.tenantIndex[tenant]; ok {
		request.Tenant = i
	}
	request.Session = f.word()
	request.Remaining = f.seconds()
	work := f.seconds()
	request.Group = f.integer()
	request.SinceWrite = time.Duration(f.number() * float64(time.Millisecond))
	flags := f.integer()
	if flags&flagWorkKnown != 0 {
		request.Work = work
	}
	request.Retry = flags&flagRetry != 0
	return request, nil
}

// outcome decodes the outcome of an attempt.
func (v *vocabulary) outcome(f *fields) (routing.Outcome, error) {
	outcome := routing.Outcome{Request: f.id()}
	positionAndRole := int64(f.number()) // four times the position, plus the role
	outcome.Member = f.required()
	outcome.Attempt = f.integer()
	outcome.Latency = f.seconds()
	outcome.Closed = f.number() == 1
	outcome.Result = f.result()
	switch outcome.Result {
	case routing.ResultOK, routing.ResultMissed, routing.ResultOverCapacity, routing.ResultError:
		outcome.Position = positionAndRole / 4
		switch positionAndRole % 4 {
		case 1:
			outcome.Role = routing.RolePrimary
		case 2:
			outcome.Role = routing.RoleReplica
		}
	}
	var err error
	outcome.Report, err = v.report(f.word())
	return outcome, err
}

// healthCheckResult decodes the result of a health check.
func (v *vocabulary) healthCheckResult(f *fields) (routing.HealthCheckResult, error) {
	result := routing.HealthCheckResult{Member: f.required()}
	result.Result = f.result()
	result.Latency = f.seconds()
	var err error
	result.Report, err = v.report(f.word())
	return result, err
}

// report decodes a load report. The settings name its columns.
func (v *vocabulary) report(text string) (routing.Report, error) {
	var report routing.Report
	if text == "" {
		return report, nil
	}
	for i, value := range strings.Split(text, ",") {
		if i >= len(v.reportColumns) {
			break
		}
		if value == "" || value == absent {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return report, fmt.Errorf("report %q: %w", text, err)
		}
		switch v.reportColumns[i] {
		case columnPosition:
			report.HasPosition = true
			report.Position = int64(math.Floor(number*1000 + 1e-6))
		case columnPrimary:
			report.Role = routing.RoleReplica
			if number >= 0.5 {
				report.Role = routing.RolePrimary
			}
		}
	}
	return report, nil
}
