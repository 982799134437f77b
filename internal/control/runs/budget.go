package runs

import (
	"time"

	pj "papayajunction"
	"papayajunction/internal/control/workflow"
)

// DefaultStateBudget is the state budget in bytes if none is set.
const DefaultStateBudget = 64 << 20

const (
	freeShares       = 2               // a workspace may use this multiple of what is free of the state budget, so that some stays free for others
	budgetRetryAfter = 5 * time.Second // work ends, or the retention of ended work passes, meanwhile
)

// admits reports whether a workspace's work may take further memory: within the state budget, within the budget of a workspace if there is
// one, and within a multiple of what is free. The last is the dynamic threshold of Choudhury and Hahn, "Dynamic queue length thresholds for
// shared-memory packet switches" (1998): however many workspaces use what they may, another one finds room.
func (c *Controller) admits(workspace string, bytes int64) bool {
	footprint := c.options.State.Footprint()
	total := footprint.Total() + c.proposed.Total()
	own := footprint.Of(workspace) + c.proposed.Of(workspace) + bytes
	if limit := c.options.WorkspaceStateBudget; limit > 0 && own > limit {
		return false
	}
	return own <= freeShares*(c.options.StateBudget-total-bytes)
}

// checkBudget returns an error if a workflow doesn't fit the state budget.
func (c *Controller) checkBudget(w *pj.Workflow) error {
	bytes := workflow.NewWorkflowFootprint(w)
	if c.admits(w.Workspace, bytes) {
		return nil
	}
	footprint := c.options.State.Footprint()
	c.options.Events.Record("workflow_over_budget", "workflow", w.ID, "workspace", w.Workspace, "bytes", bytes, "workspace_bytes", footprint.Of(w.Workspace),
		"total_bytes", footprint.Total(), "proposed_bytes", c.proposed.Total(), "budget", c.options.StateBudget, "workspace_budget", c.options.WorkspaceStateBudget)
	err := pj.Refuse(pj.CodeOverloaded, "the accepted work of workspace %q, or of all, takes as much memory as it may", w.Workspace)
	err.RetryAfter = pj.Duration(budgetRetryAfter)
	return err
}
