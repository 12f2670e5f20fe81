package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"

	"cranegate/routing"
)

// maxQuotedLine bounds the part of a line that an error quotes, in bytes.
const maxQuotedLine = 120

// vocabulary holds the names that one instance's settings define.
type vocabulary struct {
	classIndex    map[string]int
	tenantIndex   map[string]int
	reportColumns []string
}

// Reader reads batches: a batch holds the events of one clock time, and each event is for one instance, which has its own settings.
type Reader struct {
	in            *bufio.Reader
	line          int                        // lines read so far
	endpointLists map[int][]routing.Endpoint // by the number under which events refer to them
	vocabularies  map[string]*vocabulary     // by instance
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), endpointLists: map[int][]routing.Endpoint{}, vocabularies: map[string]*vocabulary{}}
}

// readLine returns the next line without its end. A last line without an end is an error, because it may have been cut off.
func (r *Reader) readLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if err == io.EOF && line != "" {
		return "", fmt.Errorf("line %d: cut short: %w", r.line+1, io.ErrUnexpectedEOF)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// Batch reads one batch. It returns io.EOF if the input ends between batches, and io.ErrUnexpectedEOF if it ends where an event or the
// batch's end is expected. The error for an invalid line, a line that is cut short or an incomplete endpoint list includes a line number;
// other errors do not.
func (r *Reader) Batch() (*Batch, error) {
	line, err := r.readLine()
	if err != nil {
		return nil, err
	}
	f := splitFields(line)
	if f.word() != messageBatchStart {
		return nil, r.lineError(line, fmt.Errorf("expected %s", messageBatchStart))
	}
	batch := &Batch{Now: f.seconds()}
	if f.err != nil {
		return nil, r.lineError(line, f.err)
	}
	for {
		line, err := r.readLine()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if line == messageBatchEnd {
			return batch, nil
		}
		event, err := r.event(line)
		if err != nil {
			return nil, r.lineError(line, err)
		}
		if event != nil { // nil: the line began an endpoint list
			batch.Events = append(batch.Events, *event)
		}
	}
}

// lineError adds the line and its number to an error.
func (r *Reader) lineError(line string, err error) error {
	if len(line) > maxQuotedLine {
		line = line[:maxQuotedLine] + "..."
	}
	return fmt.Errorf("line %d %q: %w", r.line, line, err)
}

// event decodes one line. For an endpoint list, which is not an event, it reads the entries too and returns nil.
func (r *Reader) event(line string) (*Event, error) {
	f := splitFields(line)
	name := f.word()
	if name == messageEndpointList {
		return nil, r.readEndpointList(f)
	}
	event := &Event{Instance: f.required()}
	if f.err != nil {
		return nil, f.err
	}
	var err error
	event.Payload, err = r.payload(name, event.Instance, f)
	if err == nil {
		err = f.err // the first field that could not be read; an error of payload itself takes precedence
	}
	if err != nil {
		return nil, err
	}
	return event, nil
}

// payload decodes the values after an event's name and instance.
func (r *Reader) payload(name, instance string, f *fields) (any, error) {
	switch name {
	case messageOpenInstance:
		return r.openInstance(instance, f)
	case messageCloseInstance:
		delete(r.vocabularies, instance)
		return InstanceClosed{}, nil
	}
	v := r.vocabularies[instance]
	if v == nil {
		return nil, fmt.Errorf("instance %q was never opened", instance)
	}
	switch name {
	case messageEndpointsChanged:
		return r.endpointListEvent(f)
	case messageRequest:
		return v.request(f)
	case messageClientDisconnected:
		return ClientDisconnected{Request: f.id()}, nil
	case messageTimerFired:
		return TimerFired{Name: f.word()}, nil
	case messageOutcome:
		return v.outcome(f)
	case messageAnswerStarted:
		return AnswerStarted{Request: f.id(), Attempt: f.integer()}, nil
	case messageHealthCheckResult:
		return v.healthCheckResult(f)
	case messageDatagram:
		return datagram(f)
	}
	return nil, fmt.Errorf("unknown message %q", name)
}

// openInstance decodes an instance's seed and settings, and stores its vocabulary.
func (r *Reader) openInstance(instance string, f *fields) (InstanceOpened, error) {
	seed, err := parseSeed(f.required())
	if err != nil {
		return InstanceOpened{}, err
	}
	s, err := parseSettings(f.remaining)
	if err != nil {
		return InstanceOpened{}, err
	}
	config, err := s.config()
	if err != nil {
		return InstanceOpened{}, err
	}
	v := &vocabulary{classIndex: map[string]int{}, tenantIndex: map[string]int{}, reportColumns: s.list("loadInfo.columns")}
	for i, class := range config.Classes {
		v.classIndex[class.Name] = i
	}
	for i, tenant := range config.Tenants {
		v.tenantIndex[tenant.Name] = i
	}
	r.vocabularies[instance] = v
	return InstanceOpened{Seed: seed, Config: config}, nil
}

// parseSeed parses a seed, which may be written as an unsigned or a signed number.
func parseSeed(text string) (uint64, error) {
	unsigned, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		return unsigned, nil
	}
	signed, signedErr := strconv.ParseInt(text, 10, 64)
	if signedErr != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	return uint64(signed), nil
}

// datagram decodes a message from another instance.
func datagram(f *fields) (Datagram, error) {
	d := Datagram{From: f.integer()}
	var err error
	d.Payload, err = base64.StdEncoding.DecodeString(f.word())
	return d, err
}
