package mysql

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"

	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

// TestResultOfServerErrors checks which errors of a host prove that nothing ran. If the code and the SQLSTATE imply different
// results, ResultMissed comes first, and a code for lack of capacity before any other SQLSTATE.
func TestResultOfServerErrors(t *testing.T) {
	for _, c := range []struct {
		code  uint16
		state string
		want  routing.Result
	}{
		{1290, "HY000", routing.ResultMissed},
		{1792, "25006", routing.ResultMissed},
		{1836, "53300", routing.ResultMissed},
		{1105, "72000", routing.ResultMissed},
		{1040, "25006", routing.ResultMissed},
		{1040, "08004", routing.ResultOverCapacity},
		{1203, "42000", routing.ResultOverCapacity},
		{1226, "42000", routing.ResultOverCapacity},
		{1105, "53300", routing.ResultOverCapacity},
		{1064, "42000", routing.ResultInvalidStatement},
		{errUnknownStatement, "HY000", routing.ResultError},
		{1205, "HY000", routing.ResultError},
		{1213, "40001", routing.ResultError},
		{1105, "", routing.ResultError},
	} {
		if got := resultOf(&mysqlwire.Error{Code: c.code, State: c.state}, nil); got != c.want {
			t.Errorf("error %d (%s): result %d, want %d", c.code, c.state, got, c.want)
		}
	}
}

// TestResultOfBreaks checks the results of answers that can't be read and of connections that broke. Neither proves that
// nothing ran.
func TestResultOfBreaks(t *testing.T) {
	full := &mysqlwire.Error{Code: 1040, State: "08004"}
	for _, c := range []struct {
		serverError *mysqlwire.Error
		err         error
		want        routing.Result
	}{
		{nil, nil, routing.ResultOK},
		{nil, io.EOF, routing.ResultReset},
		{full, errors.New("broken"), routing.ResultReset},
		{nil, fmt.Errorf("row: %w", mysqlwire.ErrMalformed), routing.ResultMalformed},
		{full, mysqlwire.ErrMalformed, routing.ResultMalformed},
		{nil, framebuf.ErrTooLarge, routing.ResultMalformed},
		{nil, os.ErrDeadlineExceeded, routing.ResultMalformed},
	} {
		if got := resultOf(c.serverError, c.err); got != c.want {
			t.Errorf("%v, %v: result %d, want %d", c.serverError, c.err, got, c.want)
		}
	}
}
