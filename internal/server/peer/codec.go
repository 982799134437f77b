package peer

import (
	pj "papayajunction"
	"papayajunction/internal/server/peer/peerpb"
)

func encodeAll(messages []pj.PeerMessage) []*peerpb.Message {
	out := make([]*peerpb.Message, len(messages))
	for i, m := range messages {
		out[i] = encode(m)
	}
	return out
}

func encode(m pj.PeerMessage) *peerpb.Message {
	p := &peerpb.Message{
		Kind: uint32(m.Kind), Group: m.Group, From: m.From, To: m.To, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round,
		Reject: m.Reject, Forced: m.LeadershipTransfer || m.Stopping, // one for votes, the other for append replies
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &peerpb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if s := m.Snapshot; s != nil {
		p.Snapshot = &peerpb.Snapshot{
			Index: s.Index, Term: s.Term, Data: s.Data,
			Voters: s.Membership.Voters, Learners: s.Membership.Learners,
		}
	}
	return p
}

func decodeAll(messages []*peerpb.Message) []pj.PeerMessage {
	out := make([]pj.PeerMessage, len(messages))
	for i, m := range messages {
		out[i] = decode(m)
	}
	return out
}

func decode(p *peerpb.Message) pj.PeerMessage {
	m := pj.PeerMessage{
		Kind: pj.PeerMessageKind(p.GetKind()), Group: p.GetGroup(), From: p.GetFrom(), To: p.GetTo(), Term: p.GetTerm(),
		Index: p.GetIndex(), LogTerm: p.GetLogTerm(), Commit: p.GetCommit(), Round: p.GetRound(),
		Reject: p.GetReject(),
	}
	m.Stopping = p.GetForced() && m.Kind == pj.MessageAppendReply
	m.LeadershipTransfer = p.GetForced() && m.Kind != pj.MessageAppendReply
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, pj.LogEntry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: pj.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	if s := p.GetSnapshot(); s != nil {
		m.Snapshot = &pj.LogSnapshot{
			Index: s.GetIndex(), Term: s.GetTerm(), Data: s.GetData(),
			Membership: pj.Membership{Voters: s.GetVoters(), Learners: s.GetLearners()},
		}
	}
	return m
}
