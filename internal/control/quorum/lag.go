package quorum

import (
	"fmt"
	"slices"
	"strings"
)

// Uncommitted returns the number of entries in the log that are not known to be committed.
func (c *Core) Uncommitted() uint64 {
	return c.log.lastIndex() - c.log.commit
}

// Lags describes how far the other members are at most behind this leader's log, as "MEMBER:ENTRIES" in the order of their ids, with
// ":probing" while the leader searches for the last shared entry, or ":snapshot" while a snapshot is in flight. It is
// empty on other members.
func (c *Core) Lags() string {
	lags := make([]string, 0, len(c.peers))
	for id, p := range c.peers {
		lag := fmt.Sprintf("%s:%d", id, c.log.lastIndex()-p.match)
		switch {
		case p.snapshotSentAt != 0:
			lag += ":snapshot"
		case p.probing:
			lag += ":probing"
		}
		lags = append(lags, lag)
	}
	slices.Sort(lags)
	return strings.Join(lags, ",")
}
