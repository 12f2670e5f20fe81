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

// Bounds of a call from the command line.
const (
	// callTimeout bounds a whole call. A running gateway answers within a second unless it is overloaded.
	callTimeout      = 3 * time.Second
	maxResponseBytes = 4 << 20 // a thousand members take less
	maxHeaderBytes   = 16 << 10
)

// Exit codes of a call that did not succeed.
const (
	exitRejected    = 1
	exitUnreachable = 2
	exitUsage       = 80 // Kong's own for mistakes on the command line
)

// gatewayFlags name the running gateway that a command calls.
type gatewayFlags struct {
	Admin    string `placeholder:"ADDRESS" help:"Address and port of the running gateway's admin address, or of its [admin]; without it and --operator PROXY_ADMIN."`
	Operator string `placeholder:"FILE" env:"CRANEGATE_OPERATOR" help:"Its operator's file, whose [admin] names that address."`
}

// NoAddressError reports that neither a flag nor PROXY_ADMIN names a gateway to call.
type NoAddressError struct{}

// Error says how to name a gateway.
func (NoAddressError) Error() string {
	return "no gateway is named; give --admin ADDRESS or --operator FILE with an [admin], or set PROXY_ADMIN"
}

// ExitCode is the exit code of the command.
func (NoAddressError) ExitCode() int { return exitUsage }

// UnreachableError reports that no readable response came from an address within callTimeout. The gateway may have handled the call;
// calls are idempotent, so it can be repeated.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error says what to check.
func (e UnreachableError) Error() string {
	return fmt.Sprintf("no gateway answers at %s (%v); see that it runs and that this is its admin address, then ask again", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Cause }

// ExitCode is the exit code of the command.
func (UnreachableError) ExitCode() int { return exitUnreachable }

// RejectedError reports that the gateway rejected a call.
type RejectedError struct {
	Status int    // of HTTP
	Reason string // the gateway's own text, which says what can be done
}

// Error is the gateway's own text, if it sent any.
func (e RejectedError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("no: status %d and no words; see that this is a gateway's admin address", e.Status)
	}
	return e.Reason
}

// ExitCode is the exit code of the command.
func (RejectedError) ExitCode() int { return exitRejected }

// ResponseTooLargeError reports a response of more than maxResponseBytes.
type ResponseTooLargeError struct{}

// Error gives the bound.
func (ResponseTooLargeError) Error() string {
	return fmt.Sprintf("its answer is longer than %d bytes", maxResponseBytes)
}

// adminAddress returns the gateway's admin address: that of --admin, of the operator's file, or of PROXY_ADMIN, in this order. It fails
// with NoAddressError, or as the file does.
func (f gatewayFlags) adminAddress() (string, error) {
	if f.Admin != "" {
		return f.Admin, nil
	}
	if f.Operator != "" {
		_, operator, err := loadConfig(os.Getenv("PROXY_CONFIG"), f.Operator, config.Load)
		if err != nil {
			return "", err
		}
		if operator.Admin.Listen != "" {
			return operator.Admin.Listen, nil
		}
	}
	if address := os.Getenv("PROXY_ADMIN"); address != "" {
		return address, nil
	}
	return "", NoAddressError{}
}

// call makes an admin call and returns the body of a 200 response. It fails with NoAddressError, UnreachableError or RejectedError.
func (f gatewayFlags) call(method, path string) ([]byte, error) {
	address, err := f.adminAddress()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return nil, UnreachableError{address, err}
	}
	response, err := newAdminClient().Do(request)
	if err != nil {
		return nil, UnreachableError{address, err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = ResponseTooLargeError{}
	}
	if err != nil {
		return nil, UnreachableError{address, err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, RejectedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(body))}
	}
	return body, nil
}

// newAdminClient returns an HTTP client for one call. It uses no proxy and follows no redirect.
func newAdminClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{}).DialContext,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// callAndPrint makes an admin call and prints the response.
func (f gatewayFlags) callAndPrint(method, path string) error {
	body, err := f.call(method, path)
	if err == nil {
		_, err = os.Stdout.Write(body)
	}
	return err
}

type readyCmd struct{ gatewayFlags }

// Run checks whether the gateway is ready.
func (c readyCmd) Run() error { return c.callAndPrint(http.MethodGet, "/_ready") }

type hostCmd struct {
	Detach detachCmd `cmd:"" help:"Detach a database host: once this succeeds it gets no new request."`
	Attach attachCmd `cmd:"" help:"Attach a database host again. It warms up first."`
}

// hostFlags name a database host of a running gateway.
type hostFlags struct {
	gatewayFlags
	ID string `arg:"" help:"The host's id in discovery's endpoint list."`
}

type detachCmd struct{ hostFlags }

// Run detaches the host.
func (c detachCmd) Run() error {
	return c.callAndPrint(http.MethodPost, "/_database-hosts/detach/"+url.PathEscape(c.ID))
}

type attachCmd struct{ hostFlags }

// Run attaches the host.
func (c attachCmd) Run() error {
	return c.callAndPrint(http.MethodPost, "/_database-hosts/attach/"+url.PathEscape(c.ID))
}

type lameduckCmd struct {
	On  lameduckOnCmd  `cmd:"" help:"Drain the clients. Connections close between requests; new ones are still accepted, for one request each."`
	Off lameduckOffCmd `cmd:"" help:"Accept clients again."`
}

type lameduckOnCmd struct{ gatewayFlags }

// Run drains the clients.
func (c lameduckOnCmd) Run() error { return c.callAndPrint(http.MethodPost, "/_lameduck/on") }

type lameduckOffCmd struct{ gatewayFlags }

// Run accepts clients again.
func (c lameduckOffCmd) Run() error { return c.callAndPrint(http.MethodPost, "/_lameduck/off") }
