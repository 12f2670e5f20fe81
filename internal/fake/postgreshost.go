package fake

import (
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
	"net"
	"strings"
)

// ServePostgres serves one connection until it ends.
func (h *Host) ServePostgres(raw net.Conn) {
	defer h.track(raw)()
	c := framebuf.New(raw, pgwire.MaxMessage)
	if _, _, err := pgwire.ReadStartup(c); err != nil {
		return
	}
	out := pgwire.AppendReady(pgwire.Append(nil, 'R', "\x00\x00\x00\x00"))
	id := ""
	for {
		if !h.send(c, id, out) {
			return
		}
		id = ""
		kind, body, err := pgwire.ReadMessage(c)
		if err != nil || kind != 'Q' {
			return
		}
		text, _, _ := pgwire.Text(body)
		out = nil
		if string(text) == "SHOW pressure" {
			out = pgwire.AppendReady(appendRow(out, "pressure", h.loadReport()))
			continue
		}
		statement, err := sqlcomment.Parse(text)
		if err != nil {
			out = pgwire.AppendReady(pgwire.AppendError(out, "ERROR", "08P01", err.Error(), ""))
			continue
		}
		id = statement.ID
		write := strings.Contains(string(text), "INSERT")
		act := h.decide(statement.ID, string(text), false)
		switch act {
		case Reset:
			return
		case Silent:
			c.Need(c.Buffered() + 1) // until the peer closes or sends more
			return
		case Serve:
			out = appendRow(out, "v", valueOf(string(text)))
		case Miss:
			code := "72000"
			if write {
				code = "25006"
			}
			out = pgwire.AppendError(out, "ERROR", code, "not served by this host", "")
		default:
			out = pgwire.AppendError(out, "ERROR", sqlErrors[act][0], sqlErrors[act][1], "")
		}
		for _, v := range h.sessionVariables() {
			out = pgwire.AppendParameter(out, v[0], v[1])
		}
		out = pgwire.AppendReady(out)
		if act == NoCapacity {
			h.send(c, id, out)
			return
		}
	}
}

// PostgresAnswer returns a complete answer to a statement, with a value and no parameters.
func PostgresAnswer(value string) []byte { return pgwire.AppendReady(appendRow(nil, "v", value)) }

// appendRow appends a result of one row with one column.
func appendRow(b []byte, name, value string) []byte {
	b = pgwire.Append(b, 'T', "\x00\x01", name, "\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	length := len(value)
	b = pgwire.Append(b, 'D', "\x00\x01", string([]byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}), value)
	return pgwire.Append(b, 'C', "SELECT 1\x00")
}
