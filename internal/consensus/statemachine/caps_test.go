package statemachine

import "testing"

// TestAThousandClients: results of 1,024 clients are kept, and the 1,025th is told to ask again.
func TestAThousandClients(t *testing.T) {
	s := New()
	for i := uint64(1); i <= 1025; i++ {
		text, err := Command{Key: Key{i, 1}, Op: Set, Name: "x", Any: true}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		_, r, _ := s.Apply(i, text)
		if kept := len(s.clients); i <= 1024 && (r.Code != OK || kept != int(i)) || i > 1024 && (r.Code != Open || kept != 1024) {
			t.Fatalf("client %d: %v, results of %d are kept", i, r.Code, kept)
		}
	}
}
