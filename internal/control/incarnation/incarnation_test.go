package incarnation_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"papayajunction/internal/control/incarnation"
)

// TestContacts: a message counts if its sender has certainly received a reply of the leader; however many incarnations there were, the present
// one is told from the former.
func TestContacts(t *testing.T) {
	const term = 7
	is := is.New(t)
	var c incarnation.Contacts
	for i := range 100 {
		name := strconv.Itoa(i)
		is.True(!c.IsCurrent(incarnation.Message{Incarnation: name, Sequence: 1, Term: term}, term))     // the first one
		is.True(!c.IsCurrent(incarnation.Message{Incarnation: name, Sequence: 1, Term: term}, term))     // the same again
		is.True(!c.IsCurrent(incarnation.Message{Incarnation: name, Sequence: 2, Term: term - 1}, term)) // it hasn't heard this leader
		is.True(c.IsCurrent(incarnation.Message{Incarnation: name, Sequence: 2, Term: term}, term))
		if i > 0 {
			before := strconv.Itoa(i - 1)
			is.True(c.Precedes(before, name))
			is.True(!c.Precedes(name, before))
		}
	}
	is.True(c.Precedes("0", "99"))
	is.True(!c.IsCurrent(incarnation.Message{Incarnation: "0", Sequence: 3, Term: term}, term)) // forgotten: as if it were the first one
}
