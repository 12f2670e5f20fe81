package postgres

import (
	"testing"

	"cranegate/routing"
)

// TestReplyResult checks which replies prove that nothing ran. After a part of a result none does.
func TestReplyResult(t *testing.T) {
	for name, c := range map[string]struct {
		reply reply
		want  routing.Result
	}{
		"read only":                 {reply{errorCode: "25006"}, routing.ResultMissed},
		"behind":                    {reply{errorCode: "72000"}, routing.ResultMissed},
		"over capacity":             {reply{errorCode: "53300"}, routing.ResultOverCapacity},
		"not now, a health check":   {reply{errorCode: "57P03", healthCheck: true}, routing.ResultOverCapacity},
		"not now, a statement":      {reply{errorCode: "57P03"}, routing.ResultError},
		"no such table":             {reply{errorCode: "42P01"}, routing.ResultInvalidStatement},
		"protocol violation":        {reply{errorCode: "08P01"}, routing.ResultInvalidStatement},
		"deadlock":                  {reply{errorCode: "40P01"}, routing.ResultError},
		"read only behind a row":    {reply{errorCode: "25006", partial: true}, routing.ResultError},
		"over capacity behind rows": {reply{errorCode: "53300", partial: true}, routing.ResultError},
		"one row":                   {reply{complete: true, rows: 1}, routing.ResultOK},
		"no row":                    {reply{complete: true}, routing.ResultError},
		"incomplete":                {reply{rows: 1}, routing.ResultReset},
		"nothing":                   {reply{}, routing.ResultReset},
	} {
		if got := c.reply.result(); got != c.want {
			t.Errorf("%s: result %d, want %d", name, got, c.want)
		}
	}
}
