// Package simwire reads and writes the simulator's text protocol. It knows the protocol's words and turns them
// into the module's types; it decides nothing.
package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"cranegate/routing"
)

// Event is one event for one instance. What holds one of the types below or of the rules package.
type Event struct {
	Instance string
	What     any
}

// Open starts an instance.
type Open struct {
	Seed   uint64
	Config routing.Config
}

// Detach kills an instance.
type Detach struct{}

// ClientDisconnected tells that a client left.
type ClientDisconnected struct{ Request uint64 }

// TimerDue tells that a timer ran out.
type TimerDue struct{ Name string }

// Started tells that a streamed answer has begun.
type Started struct {
	Request uint64
	Attempt int
}

// Datagram is a message from another instance.
type Datagram struct {
	From    int
	Payload []byte
}

// Batch is all that happened at one clock time.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// names are the words that one instance's settings gave a meaning.
type names struct {
	classes map[string]int
	tenants map[string]int
	columns []string
}

// Reader reads batches.
type Reader struct {
	in        *bufio.Reader
	line      int
	tables    map[int][]routing.Endpoint
	instances map[string]*names
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), tables: map[int][]routing.Endpoint{}, instances: map[string]*names{}}
}

// next returns the next line without its end.
func (r *Reader) next() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: cut short: %w", r.line+1, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

// Batch reads one batch; io.EOF says that the input ended between batches.
func (r *Reader) Batch() (*Batch, error) {
	s, err := r.next()
	if err != nil {
		return nil, err
	}
	f := fieldsOf(s)
	if f.word() != "tick" {
		return nil, r.fault(s, fmt.Errorf("expected tick"))
	}
	b := &Batch{Now: f.seconds()}
	if f.err != nil {
		return nil, r.fault(s, f.err)
	}
	for {
		s, err := r.next()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if s == "over_to_you" {
			return b, nil
		}
		e, err := r.event(s)
		if err != nil {
			return nil, r.fault(s, err)
		}
		if e != nil {
			b.Events = append(b.Events, *e)
		}
	}
}

// fault names the line and what is wrong with it.
func (r *Reader) fault(line string, err error) error {
	if len(line) > 120 {
		line = line[:120] + "..."
	}
	return fmt.Errorf("line %d %q: %w", r.line, line, err)
}

// event reads one line; a list gives no event.
func (r *Reader) event(s string) (*Event, error) {
	f := fieldsOf(s)
	name := f.word()
	if name == "list" {
		return nil, r.table(f)
	}
	e := &Event{Instance: f.need()}
	if f.err != nil {
		return nil, f.err
	}
	n := r.instances[e.Instance]
	if n == nil && name != "open_instance" && name != "detach" {
		return nil, fmt.Errorf("instance %q was never opened", e.Instance)
	}
	var err error
	switch name {
	case "open_instance":
		e.What, err = r.open(e.Instance, f)
	case "detach":
		delete(r.instances, e.Instance)
		e.What = Detach{}
	case "roster_change":
		e.What, err = r.roster(f)
	case "knock":
		e.What, err = n.knock(f)
	case "hangup":
		e.What = ClientDisconnected{Request: f.id()}
	case "tick_due":
		e.What = TimerDue{Name: f.word()}
	case "reply":
		e.What, err = n.reply(f)
	case "ack_first":
		e.What = Started{Request: f.id(), Attempt: f.integer()}
	case "probed":
		p := routing.HealthCheckResult{Member: f.need(), Result: f.result(), Latency: f.seconds()}
		p.Report, err = n.report(f.word())
		e.What = p
	case "datagram":
		d := Datagram{From: f.integer()}
		d.Payload, err = base64.StdEncoding.DecodeString(f.word())
		e.What = d
	default:
		return nil, fmt.Errorf("unknown message %q", name)
	}
	if err == nil {
		err = f.err
	}
	return e, err
}

// open reads an instance's seed and settings.
func (r *Reader) open(instance string, f *fields) (Open, error) {
	seed := f.need()
	var o Open
	u, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		i, err2 := strconv.ParseInt(seed, 10, 64)
		if err2 != nil {
			return o, fmt.Errorf("seed: %w", err)
		}
		u = uint64(i)
	}
	o.Seed = u
	s, err := parseSettings(f.rest)
	if err != nil {
		return o, err
	}
	if o.Config, err = s.config(); err != nil {
		return o, err
	}
	n := &names{classes: map[string]int{}, tenants: map[string]int{}, columns: s.list("loadInfo.columns")}
	for i, c := range o.Config.Classes {
		n.classes[c.Name] = i
	}
	for i, t := range o.Config.Tenants {
		n.tenants[t.Name] = i
	}
	r.instances[instance] = n
	return o, nil
}

var phaseWords = map[string]routing.Phase{"on": routing.PhaseServing, "fading": routing.PhaseDraining, "off": routing.PhaseRemoved}

// table reads a list and its entry lines.
func (r *Reader) table(f *fields) error {
	number, count := f.integer(), f.integer()
	if f.err != nil {
		return f.err
	}
	if count < 0 {
		return fmt.Errorf("a list of %d entries", count)
	}
	var entries []routing.Endpoint
	for range count {
		s, err := r.next()
		if err != nil {
			return fmt.Errorf("reading list %d: %w", number, err)
		}
		l := fieldsOf(s)
		if l.word() != "entry" {
			return fmt.Errorf("%q in list %d: expected entry", s, number)
		}
		phase, ok := phaseWords[l.word()]
		if !ok {
			return fmt.Errorf("%q in list %d: unknown phase", s, number)
		}
		e := routing.Endpoint{Phase: phase, Zone: l.word()}
		l.word() // the machine kind decides nothing
		e.Capacity, e.Primary, e.StartedAt = l.number(), l.number() == 1, l.seconds()
		e.Member, e.Group = l.need(), l.integer()
		if l.err != nil {
			return fmt.Errorf("%q in list %d: %w", s, number, l.err)
		}
		entries = append(entries, e)
	}
	r.tables[number] = entries
	return nil
}

var listWords = map[string]routing.EndpointListKind{"patch": routing.EndpointListPatch, "whole": routing.EndpointListComplete,
	"stale_copy": routing.EndpointListStale, "broken": routing.EndpointListFailed}

// roster reads news of the list.
func (r *Reader) roster(f *fields) (routing.EndpointList, error) {
	how := f.word()
	kind, ok := listWords[how]
	if !ok {
		return routing.EndpointList{}, fmt.Errorf("unknown kind of list %q", how)
	}
	l := routing.EndpointList{Kind: kind}
	f.word() // the revision decides nothing: changes come in order
	if kind == routing.EndpointListFailed {
		return l, nil
	}
	number := f.integer()
	if l.Endpoints, ok = r.tables[number]; !ok && f.err == nil {
		return l, fmt.Errorf("list %d was never sent", number)
	}
	return l, nil
}

// knock reads a request.
func (n *names) knock(f *fields) (routing.Request, error) {
	q := routing.Request{ID: f.id(), Tenant: -1}
	class, tenant := f.need(), f.word()
	var ok bool
	if q.Class, ok = n.classes[class]; !ok && f.err == nil {
		return q, fmt.Errorf("unknown class %q", class)
	}
	if i, ok := n.tenants[tenant]; ok {
		q.Tenant = i
	}
	q.Session = f.word()
	q.Remaining = f.seconds()
	work := f.seconds()
	q.Group = f.integer()
	q.SinceWrite = time.Duration(f.number() * float64(time.Millisecond))
	bits := f.integer()
	if bits&1 != 0 {
		q.Work = work
	}
	q.Retry = bits&2 != 0
	return q, nil
}

// reply reads the end of an attempt.
func (n *names) reply(f *fields) (routing.Outcome, error) {
	o := routing.Outcome{Request: f.id()}
	note := int64(f.number())
	o.Member, o.Attempt, o.Latency = f.need(), f.integer(), f.seconds()
	o.Closed, o.Result = f.number() == 1, f.result()
	switch o.Result {
	case routing.ResultOK, routing.ResultMissed, routing.ResultOverCapacity, routing.ResultError:
		o.Position = note / 4
		switch note % 4 {
		case 1:
			o.Role = routing.RolePrimary
		case 2:
			o.Role = routing.RoleReplica
		}
	}
	var err error
	o.Report, err = n.report(f.word())
	return o, err
}

// report reads a load report by the configured column names.
func (n *names) report(s string) (routing.Report, error) {
	var out routing.Report
	if s == "" {
		return out, nil
	}
	for i, v := range strings.Split(s, ",") {
		if i >= len(n.columns) {
			break
		}
		if v == "" || v == "-" {
			continue
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return out, fmt.Errorf("report %q: %w", s, err)
		}
		switch n.columns[i] {
		case "x0":
			out.HasPosition, out.Position = true, int64(math.Floor(x*1000+1e-6))
		case "x1":
			out.Role = routing.RoleReplica
			if x >= 0.5 {
				out.Role = routing.RolePrimary
			}
		}
	}
	return out, nil
}

// fields takes the values of a line one by one; err keeps the first fault.
type fields struct {
	rest []string
	err  error
}

func fieldsOf(s string) *fields { return &fields{rest: strings.Split(s, " ")} }

// word returns the next value, empty where it is absent.
func (f *fields) word() string {
	if len(f.rest) == 0 {
		return ""
	}
	s := f.rest[0]
	f.rest = f.rest[1:]
	if s == "-" {
		return ""
	}
	return s
}

// need returns a value that must be there.
func (f *fields) need() string {
	s := f.word()
	if s == "" && f.err == nil {
		f.err = fmt.Errorf("a value is missing")
	}
	return s
}

func (f *fields) number() float64 {
	s := f.word()
	if s == "" {
		return 0
	}
	n, err := strconv.ParseFloat(s, 64)
	if (err != nil || math.IsNaN(n) || math.IsInf(n, 0)) && f.err == nil {
		f.err = fmt.Errorf("%q is no number", s)
	}
	return n
}

func (f *fields) integer() int {
	s := f.word()
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%q is no whole number", s)
	}
	return n
}

func (f *fields) id() uint64 {
	s := f.need()
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%q is no request id", s)
	}
	return n
}

func (f *fields) seconds() time.Duration { return seconds(f.number()) }

func (f *fields) result() routing.Result {
	n := f.integer()
	if (n < int(routing.ResultError) || n > int(routing.ResultMissed)) && f.err == nil {
		f.err = fmt.Errorf("unknown outcome %d", n)
	}
	return routing.Result(n)
}

// seconds turns the wire's seconds into a duration, exact to the microsecond.
func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}
