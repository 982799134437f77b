package api

import (
	"net/http"
	"strconv"
	"time"

	pj "papayajunction"
)

const maxPublicationBytes = 16 << 20

// Durations for reading a configuration of at least the version that the client has already seen.
const (
	maxVersionWait      = 3 * time.Second // how long to wait until this VM has that version
	versionPollInterval = 50 * time.Millisecond
)

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	var an pj.EndpointAnnouncement
	if err := readJSON(w, r, maxReportBytes, &an); err != nil {
		writeError(w, err)
		return
	}
	reply, err := a.node.Announce(r.Context(), an)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *API) report(w http.ResponseWriter, r *http.Request) {
	var report pj.WorkerReport
	if err := readJSON(w, r, maxReportBytes, &report); err != nil {
		writeError(w, err)
		return
	}
	if report.Worker != r.PathValue("worker") {
		writeError(w, pj.Refuse(pj.CodeBadRequest, "the worker in the path is not the worker of the report"))
		return
	}
	reply, err := a.node.Report(r.Context(), report)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var p pj.Publication
	if err := readJSON(w, r, maxPublicationBytes, &p); err != nil {
		writeError(w, err)
		return
	}
	reply, err := a.node.Publish(r.Context(), p)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// configuration responds with the configuration in force; with ?at_least=N it waits until this VM has version N.
func (a *API) configuration(w http.ResponseWriter, r *http.Request) {
	minVersion, err := strconv.ParseUint(r.URL.Query().Get("at_least"), 10, 64)
	if err != nil {
		minVersion = 0
	}
	deadline := time.Now().Add(maxVersionWait)
	for {
		config := a.node.Directory().Configuration()
		_, confirmed := a.node.Directory().Confirmed()
		if confirmed && config.Version >= minVersion {
			writeJSON(w, http.StatusOK, config)
			return
		}
		if time.Now().After(deadline) || r.Context().Err() != nil {
			writeError(w, pj.Refuse(pj.CodeNoQuorum, "this VM has version %d and received no newer one in time", config.Version))
			return
		}
		time.Sleep(versionPollInterval)
	}
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	st, err := a.node.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, st)
}

func (a *API) drain(w http.ResponseWriter, r *http.Request) {
	var d pj.Drain
	if err := readJSON(w, r, a.settings.MaxBodyBytes, &d); err != nil {
		writeError(w, err)
		return
	}
	if (d.Kind != pj.DrainWorker && d.Kind != pj.DrainEndpoint) || d.Name == "" || d.Zone == "" {
		writeError(w, pj.Refuse(pj.CodeBadRequest, "kind (worker or endpoint), name and zone are required"))
		return
	}
	if err := a.node.DrainTarget(r.Context(), d); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, d)
}

func (a *API) listKeys(w http.ResponseWriter, r *http.Request) {
	workspace := r.PathValue("workspace")
	if workspace == allWorkspaces {
		workspace = ""
	}
	keys, err := a.node.Keys(r.Context(), workspace)
	if err != nil {
		writeError(w, err)
		return
	}
	for i := range keys {
		keys[i].Hash = ""
	}
	writeJSON(w, http.StatusOK, keys)
}

// allWorkspaces, in the path of a request for keys, means all workspaces.
const allWorkspaces = "-"

func (a *API) grantKey(w http.ResponseWriter, r *http.Request) {
	k := pj.IssuedKey{}
	if r.ContentLength != 0 {
		if err := readJSON(w, r, a.settings.MaxBodyBytes, &k); err != nil {
			writeError(w, err)
			return
		}
	}
	k.Workspace = r.PathValue("workspace")
	if k.Secret != "" && len(k.Secret) < minSecretBytes {
		writeError(w, pj.Refuse(pj.CodeBadRequest, "a secret must be at least %d bytes long", minSecretBytes))
		return
	}
	issued, err := a.node.GrantKey(r.Context(), k)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, issued)
}

const minSecretBytes = 16

// incompleteWithdrawal returns the error for a withdrawal that failed. Unless there is no such key, this VM no longer accepts it.
func incompleteWithdrawal(id string, err error) *pj.Error {
	e := *pj.AsError(err)
	if e.Code == pj.CodeBadRequest && e.NotRun {
		return &e
	}
	e.NotRun = false
	e.Message = "key " + id + " is refused by this VM from now on, but not yet by all VMs: " + e.Message
	return &e
}

func (a *API) withdrawKey(w http.ResponseWriter, r *http.Request) {
	workspace, id := r.PathValue("workspace"), r.PathValue("id")
	if err := a.node.WithdrawKey(r.Context(), workspace, id); err != nil {
		writeError(w, incompleteWithdrawal(id, err))
		return
	}
	writeJSON(w, http.StatusOK, pj.Key{ID: id, Workspace: workspace, Withdrawn: true})
}
