package runs

// Limits of runs, which take memory of the leader, of the messages that start them and of the polls that list them.
// All runs together, and in addition all open starts, may take as much memory as the state budget.
const (
	startBytes = 16 << 10 // estimate of the memory that a start takes while it is being committed or has no answer yet
	runBytes   = 4 << 10  // estimate of the memory that a run takes
)

func (c *Controller) maxOpenStarts() int { return int(c.options.StateBudget / startBytes) }

func (c *Controller) maxRuns() int { return int(c.options.StateBudget / runBytes) }

// startRoom returns how many further tasks of a workspace may start now. As with the state budget, one workspace leaves room for others.
func (c *Controller) startRoom(workspace string) int {
	own := len(c.byWorkspace[workspace])
	room := (freeShares*(c.maxRuns()-c.liveRuns) - own) / (freeShares + 1)
	return max(min(room, c.maxOpenStarts()-c.openStarts), 0)
}

// mayStartGang reports whether a gang of the workspace may start now. Its members start together, so they may exceed the limit of open starts.
func (c *Controller) mayStartGang(workspace string, members int) bool {
	own := len(c.byWorkspace[workspace])
	return c.openStarts < c.maxOpenStarts() && own+members <= max(freeShares*(c.maxRuns()-c.liveRuns-members), members)
}

// startOpened counts a start that is proposed.
func (c *Controller) startOpened(v *run) {
	v.open = true
	c.openStarts++
}

// startClosed counts a start that was answered, or will not be sent.
func (c *Controller) startClosed(v *run) {
	if v.open {
		v.open = false
		c.openStarts--
	}
}
