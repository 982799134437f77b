package runs

// Limits of runs, which take memory of the leader, of the messages that start them and of the polls that list them.
const (
	maxOpenStarts = 1000    // starts that are being committed or have no answer yet
	runBytes      = 4 << 10 // estimate of the memory that a run takes; all runs may take as much as the state budget
)

// startRoom returns how many further tasks of a workspace may start now. As with the state budget, one workspace leaves room for others.
func (c *Controller) startRoom(workspace string) int {
	maxRuns := int(c.options.StateBudget / runBytes)
	own := len(c.byWorkspace[workspace])
	room := (freeShares*(maxRuns-c.liveRuns) - own) / (freeShares + 1)
	return max(min(room, maxOpenStarts-c.openStarts), 0)
}

// mayStartGang reports whether a gang of the workspace may start now. Its members start together, so they may exceed the limit of open starts.
func (c *Controller) mayStartGang(workspace string, members int) bool {
	maxRuns := int(c.options.StateBudget / runBytes)
	own := len(c.byWorkspace[workspace])
	return c.openStarts < maxOpenStarts && own+members <= max(freeShares*(maxRuns-c.liveRuns-members), members)
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
