package gateway

import (
	"time"

	"github.com/ryeford/ryeford/gateway/peers"
)

// briefMessage returns the brief message with a sequence number.
func (g *gossip) briefMessage(now time.Time, sequence uint64) *peers.Message {
	// The confirmation is read before the version and the evacuations. If they change in between, the
	// message reports data that is newer than its confirmation, which is harmless. The reverse would
	// confirm outdated data.
	confirmedAt, confirmed := g.configuration.lease.Confirmed()
	message := &peers.Message{
		ConfirmedAt:      confirmedAt,
		Confirmed:        confirmed,
		Version:          g.configuration.version(),
		Evacuations:      peers.EncodeEvacuations(g.configuration.evacuations.lastRead()),
		Quarantined:      g.quarantine.outgoing(now),
		Ended:            g.quarantine.outgoingEndings(now),
		HeldRequestsRead: g.quarantine.heldRequests.loaded.Load(),
		Sender:           g.self,
		Started:          g.started,
		Sequence:         sequence,
		Brief:            true,
		KeepsRecords:     true,
		List:             g.endpoints.digest(),
		Reports:          g.loads.Reports(now, peers.MaxBriefReports, 0),
	}
	message.SetWithheld(g.roster.Withheld(now, peers.MaxWithheld))
	message.Leaving = g.roster.RecentlyLeaving(now, peers.MaxLeaving)
	message.Services = g.overload.Figures(now)
	return message
}

// message returns the message with a sequence number, including all prompts that have not been sent
// yet, and the loads of all endpoints if complete is set.
func (g *gossip) message(now time.Time, sequence uint64, complete bool) *peers.Message {
	message := g.briefMessage(now, sequence)
	message.Brief = false
	message.Members = g.table.Members(now, peers.MaxMembers)
	message.Complete = complete
	message.Totals, message.Loads = g.loads.Local(complete)
	message.Demands = g.loads.Demands()
	message.Reports = g.loads.Reports(now, peers.MaxHighReports, peers.MaxOtherReports)
	g.mu.Lock()
	defer g.mu.Unlock()
	message.Prompts, g.partial = g.prompts, !message.Complete
	g.prompts, g.parts = nil, 0
	if g.partial {
		message.Prompts = append(message.Prompts, g.firstParts.next(maxFirstParts)...)
	}
	return message
}
