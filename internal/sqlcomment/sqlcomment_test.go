package sqlcomment

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed of rapid is fixed, so that results in CI do not vary. The flags still override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

// TestForwardedUnchanged checks that a statement is forwarded unchanged except for its timeout. A database host rejects any
// other change.
func TestForwardedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.Permutation([]string{"id=9b1f", "c=basket", "d=480", "cluster=2", "after=1767225600123", "r=1"}).Draw(t, "fields")
		separator := rapid.SampledFrom([]string{",", ", ", " ,"}).Draw(t, "separator")
		rest := rapid.StringMatching(`[ a-zA-Z=,*]{0,20}'[0-9a-f]{0,8}' d=7.{0,20}`).Draw(t, "rest")
		text := func(timeout string) string {
			s := "/* "
			for i, field := range fields {
				if i > 0 {
					s += separator
				}
				if field == "d=480" {
					field = "d=" + timeout
				}
				s += field
			}
			return s + " */" + rest
		}
		in := []byte(text("480"))
		s, err := Parse(in)
		if err != nil {
			t.Fatal(err)
		}
		clear(in) // the buffer is reused
		if s.ID != "9b1f" || s.Class != "basket" || s.Timeout != 480*time.Millisecond || s.Group != 2 || s.MinPosition != 1767225600123 || !s.Retry {
			t.Fatalf("%+v", s)
		}
		if got := string(bytes.Join(s.Text(399100*time.Microsecond), nil)); got != text("400") {
			t.Fatalf("%q, want %q", got, text("400"))
		}
	})
}

// TestMalformed checks that malformed comments are errors.
func TestMalformed(t *testing.T) {
	for _, s := range []string{"", "SELECT 1", "/*", "/* id=1", "/* id */", "/* d=x */", "/* d=0 */", "/* d=-5 */",
		"/* cluster=a */", "/* after=9999999999999999999 */", "/* " + fmt.Sprint(make([]int, 600)) + "=1 */"} {
		if got, err := Parse([]byte(s)); err == nil {
			t.Errorf("%.40q: %+v", s, got)
		}
	}
}
