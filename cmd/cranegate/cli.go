package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"cranegate/internal/config"
)

// What bounds a call of the command line. A call has its answer within a second, unless the gateway has not started, is
// overloaded or is another program.
const (
	askFor     = 3 * time.Second
	answerMost = 4 << 20 // bytes; a thousand members take less
	headMost   = 16 << 10
)

// Exit codes of a call that got no yes. Mistakes on the command line are 80.
const (
	exitNo       = 1
	exitNoAnswer = 2
	exitNotAsked = 80
)

// where is the address of a running gateway's calls.
type where struct {
	Admin    string `placeholder:"ADDRESS" help:"Address and port of the running gateway's second address, or of its [admin]; without it and --operator PROXY_ADMIN."`
	Operator string `placeholder:"FILE" env:"CRANEGATE_OPERATOR" help:"Its operator's file, whose [admin] names that address."`
}

// NoAddress says that nothing names the gateway to ask. Give --admin ADDRESS, or --operator FILE with an [admin], or set
// PROXY_ADMIN.
type NoAddress struct{}

func (NoAddress) Error() string {
	return "no gateway is named; give --admin ADDRESS or --operator FILE with an [admin], or set PROXY_ADMIN"
}

// ExitCode is that of the command.
func (NoAddress) ExitCode() int { return exitNotAsked }

// NoAnswer says that nothing which can be read came from an address within askFor: the call may or may not have been
// taken. See that the gateway runs and that this is its second address, then ask again; each call may be made twice.
type NoAnswer struct {
	Address string
	Err     error
}

func (e NoAnswer) Error() string {
	return fmt.Sprintf("no gateway answers at %s (%v); see that it runs and that this is its second address, then ask again", e.Address, e.Err)
}

func (e NoAnswer) Unwrap() error { return e.Err }

// ExitCode is that of the command.
func (NoAnswer) ExitCode() int { return exitNoAnswer }

// SaidNo is a gateway's no, in its own words. They say what can be done.
type SaidNo struct {
	Status int // of HTTP
	Text   string
}

func (e SaidNo) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("no: status %d and no words; see that this is a gateway's second address", e.Status)
	}
	return e.Text
}

// ExitCode is that of the command.
func (SaidNo) ExitCode() int { return exitNo }

// TooLong says that an answer was cut off.
type TooLong struct{}

func (TooLong) Error() string { return fmt.Sprintf("its answer is longer than %d bytes", answerMost) }

// address is the gateway's, or NoAddress.
func (w where) address() (string, error) {
	if w.Admin != "" {
		return w.Admin, nil
	}
	if w.Operator != "" {
		_, o, err := load(os.Getenv("PROXY_CONFIG"), w.Operator, config.Load)
		if err != nil {
			return "", err
		}
		if o.Admin.Listen != "" {
			return o.Admin.Listen, nil
		}
	}
	if a := os.Getenv("PROXY_ADMIN"); a != "" {
		return a, nil
	}
	return "", NoAddress{}
}

// ask makes a call and returns the text of a yes; else NoAddress, NoAnswer or SaidNo.
func (w where) ask(method, path string) ([]byte, error) {
	address, err := w.address()
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return nil, NoAnswer{address, err}
	}
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: headMost, DialContext: (&net.Dialer{}).DialContext}
	client := http.Client{Transport: transport, Timeout: askFor, // of all together; no proxy stands between
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r, err := client.Do(q)
	if err != nil {
		return nil, NoAnswer{address, err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, answerMost+1))
	if err == nil && len(text) > answerMost {
		err = TooLong{}
	}
	if err != nil {
		return nil, NoAnswer{address, err}
	}
	if r.StatusCode != http.StatusOK {
		return nil, SaidNo{r.StatusCode, strings.TrimSpace(string(text))}
	}
	return text, nil
}

// tell makes a call and prints the gateway's yes.
func (w where) tell(method, path string) error {
	text, err := w.ask(method, path)
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}

type readyCmd struct{ where }

// Run asks whether the gateway can serve.
func (c readyCmd) Run() error { return c.tell(http.MethodGet, "/_ready") }

type hostCmd struct {
	Detach detachCmd `cmd:"" help:"Take a database host out: nothing new goes there from the yes on."`
	Attach attachCmd `cmd:"" help:"Let it serve again."`
}

type hostID struct {
	where
	ID string `arg:"" help:"The host's id, as discovery's list has it."`
}

type detachCmd struct{ hostID }

// Run takes the host out.
func (c detachCmd) Run() error {
	return c.tell(http.MethodPost, "/_database-hosts/detach/"+url.PathEscape(c.ID))
}

type attachCmd struct{ hostID }

// Run calls the host back.
func (c attachCmd) Run() error {
	return c.tell(http.MethodPost, "/_database-hosts/attach/"+url.PathEscape(c.ID))
}

type lameduckCmd struct {
	On  lameduckOn  `cmd:"" help:"Send the clients away, each when that crosses nothing. New ones are still taken, for a request each."`
	Off lameduckOff `cmd:"" help:"Take clients again."`
}

type lameduckOn struct{ where }

// Run sends the clients away.
func (c lameduckOn) Run() error { return c.tell(http.MethodPost, "/_lameduck/on") }

type lameduckOff struct{ where }

// Run takes clients again.
func (c lameduckOff) Run() error { return c.tell(http.MethodPost, "/_lameduck/off") }
