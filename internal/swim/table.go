package swim

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// requestTable requests the full table from a random VM, and from another one each time until an
// answer arrives. The table contains the records that no probe has carried here.
func (d *Detector) requestTable(now clock.Time) []Outgoing {
	d.tableAt, d.tableRequested = now.Add(tableRetryDelay), true
	peers := d.samplePeers(now, 1, "")
	if len(peers) == 0 {
		return nil
	}
	m := d.message(TableRequest, 0, "")
	m.Digest = d.digest()
	return []Outgoing{{peers[0], m}}
}

// tableChunks returns all records in as many messages as they need, or one empty message if the
// requesting VM has equal records.
func (d *Detector) tableChunks(now clock.Time, request *Message) []Outgoing {
	m := Message{From: d.own, Kind: TableChunk}
	if request.Digest == d.digest() {
		d.dropSettled(now)
		m.Digest = request.Digest
		return []Outgoing{{request.From.Peer, m}}
	}
	var out []Outgoing
	for _, peer := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[peer]
		if e.Version == 0 {
			continue
		}
		m.Updates = append(m.Updates, e.Record)
		if len(m.Updates) == tableChunkRecords {
			out = append(out, Outgoing{request.From.Peer, m})
			m.Updates = nil
		}
	}
	return append(out, Outgoing{request.From.Peer, m})
}

// receiveTable schedules the next table request with jitter, so that VMs that start together don't
// send their requests together.
func (d *Detector) receiveTable(now clock.Time, m *Message) {
	if m.Digest != 0 {
		d.dropSettled(now)
	}
	if !d.tableRequested {
		return // another chunk of the same answer
	}
	d.tableRequested = false
	d.tableAt = now.Add(d.tableWait/2 + time.Duration(d.rand.Int64N(int64(d.tableWait))))
	maxWait := maxTablePeriod * time.Duration(max(len(d.entries), tableUnitVMs)) / tableUnitVMs
	d.tableWait = min(2*d.tableWait, maxWait)
}

// expediteTable schedules a table request soon and at short intervals after it: during churn more
// records change than rumors deliver to all VMs reliably.
func (d *Detector) expediteTable(now clock.Time) {
	d.tableWait = churnTableDelay
	if soon := now.Add(churnTableDelay/2 + time.Duration(d.rand.Int64N(int64(churnTableDelay)))); soon < d.tableAt {
		d.tableAt = soon
	}
}

// dropSettled stops passing on old rumors once another VM has equal records, except during and
// shortly after churn, when records change too fast for that.
func (d *Detector) dropSettled(now clock.Time) {
	if now > d.churn.until.Add(churnSettleDelay) {
		d.rumors.dropSettled(now)
	}
}

// digest is equal for two VMs whose records of all VMs agree, apart from fields that aren't urgent.
func (d *Detector) digest() uint64 {
	sum := digestOf(&d.own)
	for _, e := range d.entries {
		if e.Version != 0 {
			sum ^= digestOf(&e.Record)
		}
	}
	return sum
}

func digestOf(r *Record) uint64 {
	h := xxhash.Sum64String(r.Peer) ^ splitmix.Mix(xxhash.Sum64String(r.Incarnation))
	for _, flag := range []bool{r.Silent, r.Ready, r.Leaving, r.Leader} {
		h = splitmix.Mix(h)
		if flag {
			h++
		}
	}
	return splitmix.Mix(h)
}
