package swim

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// askTable asks a VM for the whole list. Until an answer comes another one is asked.
// What no probe has carried here is learned by it.
func (d *Detector) askTable(now clock.Time) []Outgoing {
	d.tableAt, d.asking = now.Add(tableRetry), true
	peers := d.pick(now, 1, "")
	if len(peers) == 0 {
		return nil
	}
	m := d.message(TableRequest, 0, "")
	m.Digest = d.digest()
	return []Outgoing{{peers[0], m}}
}

// table returns the whole list in as many messages as it needs, or an empty message
// if the VM that asks believes the same.
func (d *Detector) table(now clock.Time, asked *Message) []Outgoing {
	m := Message{From: d.own, Kind: TableChunk}
	if asked.Digest == d.digest() {
		d.settle(now)
		m.Digest = asked.Digest
		return []Outgoing{{asked.From.Peer, m}}
	}
	var out []Outgoing
	for _, peer := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[peer]
		if e.Version == 0 {
			continue
		}
		m.Updates = append(m.Updates, e.Record)
		if len(m.Updates) == tableChunk {
			out = append(out, Outgoing{asked.From.Peer, m})
			m.Updates = nil
		}
	}
	return append(out, Outgoing{asked.From.Peer, m})
}

// tableAnswered puts the next question off, by chance, so that VMs which start
// together don't ask together.
func (d *Detector) tableAnswered(now clock.Time, m *Message) {
	if m.Digest != 0 {
		d.settle(now)
	}
	if !d.asking {
		return // another part of the same answer
	}
	d.asking = false
	d.tableAt = now.Add(d.tableWait/2 + time.Duration(d.rand.Int64N(int64(d.tableWait))))
	longest := tablePeriod * time.Duration(max(len(d.entries), tableUnit)) / tableUnit
	d.tableWait = min(2*d.tableWait, longest)
}

// tableSoon has the whole list asked for soon, and again a few times: more records
// change than those who pass them on are sure to reach all with.
func (d *Detector) tableSoon(now clock.Time) {
	d.tableWait = alarmTable
	if soon := now.Add(alarmTable/2 + time.Duration(d.rand.Int64N(int64(alarmTable)))); soon < d.tableAt {
		d.tableAt = soon
	}
}

// settle stops passing on what another VM has all come to know too, unless many VMs fell
// silent or came back lately: what is told of them then changes too fast for that.
func (d *Detector) settle(now clock.Time) {
	if now > d.alarm.until.Add(calmAfter) {
		d.rumors.settle(now)
	}
}

// digest is the same for two VMs that believe the same of all, but for what is not
// urgent.
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
