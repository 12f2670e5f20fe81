package mysqlwire

import (
	"encoding/hex"
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// The seed of rapid is fixed, so that results in CI do not vary. The flags still override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

// fixedSizes are the sizes of values, by type, in bytes.
var fixedSizes = map[byte]int{TypeTiny: 1, TypeShort: 2, TypeLong: 4, TypeLongLong: 8, TypeDouble: 8, TypeFloat: 4}

// paramsGenerator generates parameters of various types.
var paramsGenerator = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Param {
	kind := rapid.SampledFrom([]byte{TypeTiny, TypeShort, TypeLong, TypeLongLong, TypeDouble, TypeFloat, TypeDatetime,
		TypeVarString, TypeBlob, TypeNull}).Draw(t, "type")
	p := Param{Type: uint16(kind), Name: rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "name"), Null: rapid.Bool().Draw(t, "null")}
	bytes := rapid.SliceOfN(rapid.Byte(), 0, 300)
	switch n, fixed := fixedSizes[kind]; {
	case p.Null || kind == TypeNull:
	case fixed:
		p.Value = rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, "value")
	case kind == TypeDatetime:
		b := rapid.SliceOfN(rapid.Byte(), 0, 11).Draw(t, "value")
		p.Value = append([]byte{byte(len(b))}, b...)
	default:
		b := bytes.Draw(t, "value")
		p.Value = append(AppendInt(nil, uint64(len(b))), b...)
	}
	return p
}), 0, 20)

// TestExecuteRoundTrip checks that parameters and attributes are parsed as they were written, and that parsing a payload that
// is cut short or changed never reads past its end.
func TestExecuteRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in, attributes := paramsGenerator.Draw(t, "params"), paramsGenerator.Draw(t, "attributes")
		var w Writer
		w.Execute(7, in, attributes, CapQueryAttributes)
		c := Cursor{B: w.B[5:]}
		id := c.U32()
		got := c.Execute(CapQueryAttributes, len(in), nil, nil)
		if c.Err != nil || id != 7 || len(c.B) != 0 || len(got) != len(in)+len(attributes) {
			t.Fatalf("%+v, %v, %d bytes left", got, c.Err, len(c.B))
		}
		for i, p := range append(in[:len(in):len(in)], attributes...) {
			if got[i].Type != p.Type || got[i].Name != p.Name || got[i].Null != p.Null || string(got[i].Value) != string(p.Value) {
				t.Fatalf("parameter %d: %+v, want %+v", i, got[i], p)
			}
		}
		broken := append([]byte(nil), w.B[9:]...)
		if len(broken) > 0 {
			broken[rapid.IntRange(0, len(broken)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "by")
			broken = broken[:rapid.IntRange(0, len(broken)).Draw(t, "cut")]
		}
		c = Cursor{B: broken}
		for _, p := range c.Execute(CapQueryAttributes, len(in), nil, nil) {
			p.Text()
		}
	})
}

// TestRandomPayloads checks that no parser panics on random bytes of a peer.
func TestRandomPayloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "payload")
		ParseHandshake(b)
		ParseLogin(b)
		ParseOK(b, CapSessionTrack)
		ParseErr(b)
		c := Cursor{B: b}
		c.Query(CapQueryAttributes)
	})
}

// TestSessionVariablesRoundTrip checks that an OK packet is parsed as it was written, with its session variables.
func TestSessionVariablesRoundTrip(t *testing.T) {
	const caps = CapProtocol41 | CapSessionTrack
	in := OK{Affected: 300, LastID: 70000, Warnings: 2, Session: [][2]string{{"replication_role", "primary"}, {"log_position", "1767225600123"}}}
	var w Writer
	w.OK(HeadEOF, in, caps)
	in.Status = StatusAutocommit | StatusStateChanged
	if got, err := ParseOK(w.B[4:], caps); err != nil || !reflect.DeepEqual(got, in) {
		t.Errorf("%+v, %v; want %+v", got, err, in)
	}
}

// TestHandshakeRoundTrip checks that a handshake is parsed as it was written, and that a login in the format before version 4.1
// is parsed.
func TestHandshakeRoundTrip(t *testing.T) {
	var w Writer
	w.Handshake("8.0.0", 1, CapProtocol41|CapSecure|CapPluginAuth|CapSessionTrack)
	h, err := ParseHandshake(w.B[4:])
	if err != nil || h.Version != "8.0.0" || h.Caps&CapSessionTrack == 0 || h.AuthPlugin != "mysql_native_password" {
		t.Errorf("%+v, %v", h, err)
	}
	old := []byte{0, 0, 0, 0, 1, 'h', 'a', 0, 0} // a health check's login in the format before version 4.1
	if l, err := ParseLogin(old); err != nil || l.User != "ha" {
		t.Errorf("%+v, %v", l, err)
	}
}

// TestScramble compares Scramble's results with values that were computed independently from the published formulas.
func TestScramble(t *testing.T) {
	for plugin, want := range map[string]string{
		NativePassword:      "cc3fe733cea1f98cf83c2326c9e9218ce96719c8",
		CachingSHA2Password: "a5ac1a5f311c8d5e77581775029e1db779e84e6b396291cca391008fd67a25bb",
		"sha256_password":   "", // not supported
	} {
		if got := hex.EncodeToString(Scramble(plugin, "geheim", []byte(Nonce))); got != want {
			t.Errorf("%s: %s", plugin, got)
		}
	}
}

// TestParamsAreCopies guards against parameters and attributes that change as the buffer from which they were parsed is reused.
func TestParamsAreCopies(t *testing.T) {
	const capabilities = CapProtocol41 | CapQueryAttributes
	var w Writer
	w.Query([]Param{Attribute("id", "first")}, []byte("SELECT 1"), capabilities)
	cursor := Cursor{B: w.B[5:]}
	attributes, _ := cursor.Query(capabilities)
	clear(w.B)
	if cursor.Err != nil || len(attributes) != 1 || attributes[0].Text() != "first" {
		t.Errorf("%v, %v", attributes, cursor.Err)
	}
}
