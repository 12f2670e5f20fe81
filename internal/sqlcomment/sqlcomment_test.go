package sqlcomment

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// CI's verdict never varies: the seed is fixed. The flags still override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

// TestPassedOnUnchanged checks that a statement is passed on as it came but for the value of d: a database host
// voids anything else.
func TestPassedOnUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.Permutation([]string{"id=9b1f", "c=basket", "d=480", "cluster=2", "after=1767225600123", "r=1"}).Draw(t, "fields")
		glue := rapid.SampledFrom([]string{",", ", ", " ,"}).Draw(t, "glue")
		rest := rapid.StringMatching(`[ a-zA-Z=,*]{0,20}'[0-9a-f]{0,8}' d=7.{0,20}`).Draw(t, "rest")
		text := func(d string) string {
			s := "/* "
			for i, f := range fields {
				if i > 0 {
					s += glue
				}
				if f == "d=480" {
					f = "d=" + d
				}
				s += f
			}
			return s + " */" + rest
		}
		in := []byte(text("480"))
		s, err := Parse(in)
		if err != nil {
			t.Fatal(err)
		}
		clear(in) // the buffer goes on to other uses
		if s.ID != "9b1f" || s.Class != "basket" || s.Timeout != 480*time.Millisecond || s.Group != 2 || s.MinPosition != 1767225600123 || !s.Retry {
			t.Fatalf("%+v", s)
		}
		if got := string(s.Append(nil, 399100*time.Microsecond)); got != text("400") {
			t.Fatalf("%q, want %q", got, text("400"))
		}
	})
}

func TestMalformed(t *testing.T) {
	for _, s := range []string{"", "SELECT 1", "/*", "/* id=1", "/* id */", "/* d=x */", "/* d=0 */", "/* d=-5 */",
		"/* cluster=a */", "/* after=9999999999999999999 */", "/* " + fmt.Sprint(make([]int, 600)) + "=1 */"} {
		if got, err := Parse([]byte(s)); err == nil {
			t.Errorf("%.40q: %+v", s, got)
		}
	}
}
