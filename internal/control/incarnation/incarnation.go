// Package incarnation tells which incarnation of a worker or endpoint is the present one, although messages of former ones may
// arrive late and incarnations themselves have no order.
package incarnation

import "slices"

// unknown is the position of an incarnation that has not been heard.
const unknown = -1

// maxContacts is the number of incarnations that are remembered. One that was forgotten has to be heard twice again.
const maxContacts = 16

// Message identifies a message of an incarnation: its sequence, which grows with each message, and the highest term of a
// leader that the sender had received.
type Message struct {
	Incarnation string
	Sequence    uint64
	Term        uint64
}

// Contacts are the first messages of the latest incarnations of one worker or endpoint that a leader has received, in that order.
// The zero value is empty.
type Contacts struct {
	first []Message
}

// IsCurrent reports whether a message was certainly sent after its incarnation had received a reply of the leader of this
// term. The first message of an incarnation, and one that doesn't name the leader's term, may have been delayed until its sender
// was gone.
func (c *Contacts) IsCurrent(m Message, term uint64) bool {
	position := c.position(m.Incarnation)
	if position == unknown {
		c.first = append(c.first[max(len(c.first)-maxContacts+1, 0):], m)
		return false
	}
	return m.Term == term && m.Sequence > c.first[position].Sequence
}

// Precedes reports whether the first message of incarnation a was received before that of b, or only that of b was. If both
// have sent current messages, a is a former incarnation.
func (c *Contacts) Precedes(a, b string) bool {
	return c.position(a) < c.position(b)
}

func (c *Contacts) position(incarnation string) int {
	return slices.IndexFunc(c.first, func(m Message) bool { return m.Incarnation == incarnation })
}
