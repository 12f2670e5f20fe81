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
	// callTimeout bounds a call from the connect to the end of the response. A running gateway answers within a second unless it is overloaded.
	callTimeout      = 3 * time.Second
	maxResponseBytes = 4 << 20 // a thousand members take less
	maxHeaderBytes   = 16 << 10
)

// Exit codes of a call that did not succeed.
const (
	exitRejected    = 1
	exitUnreachable = 2
	exitUsage       = 80 // the code with which Kong reports errors on the command line
)

// gatewayFlags select the running gateway that a command calls.
type gatewayFlags struct {
	Admin    string `placeholder:"ADDRESS" help:"Admin address of the running gateway, as host:port. Without it the [admin] of --operator is called, or else PROXY_ADMIN."`
	Operator string `placeholder:"FILE" env:"CRANEGATE_OPERATOR" help:"The running gateway's operator's file, whose [admin] names an admin address."`
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
	return fmt.Sprintf("no gateway answers at %s (%v); check that it runs and that this is its admin address, then repeat the call", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Cause }

// ExitCode is the exit code of the command.
func (UnreachableError) ExitCode() int { return exitUnreachable }

// RejectedError reports that the gateway rejected a call.
type RejectedError struct {
	Status int    // of HTTP
	Reason string // the response's body, which says what can be done
}

// Error returns the gateway's text or, if it sent none, the status.
func (e RejectedError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("rejected with HTTP status %d and an empty response; check that this is a gateway's admin address", e.Status)
	}
	return e.Reason
}

// ExitCode is the exit code of the command.
func (RejectedError) ExitCode() int { return exitRejected }

// ResponseTooLargeError reports a response of more than maxResponseBytes.
type ResponseTooLargeError struct{}

// Error names the bound.
func (ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response is longer than %d bytes", maxResponseBytes)
}

// adminAddress returns the gateway's admin address from --admin, the operator's file or PROXY_ADMIN, in this order. It fails with
// NoAddressError, or with the error of loading the operator's file.
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

// call makes an admin call and returns the body of a 200 response. It fails with an error of adminAddress,
// UnreachableError or RejectedError.
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
