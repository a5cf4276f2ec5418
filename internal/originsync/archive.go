package originsync

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/origin"
)

// Archived is the origin of one stream in the store.
type Archived struct {
	Stream origin.Key
	origin.Origin
}

// Records are what a VM that starts reads, with one call.
type Records struct {
	Starts []origin.Start
	// Incomplete means that the store may have lost starts in a restore: no VM has marked them as complete since.
	Incomplete  bool
	Quarantines []crash.Crash // for which requests and prompt parts are quarantined, with their ages when they were written
}

// Store keeps records that outlive all VMs.
type Store interface {
	// Records returns the newest records.
	Records(ctx context.Context) (Records, error)
	// PutStarts adds starts to the record, and DeleteStarts removes some.
	PutStarts(ctx context.Context, starts []origin.Start) error
	DeleteStarts(ctx context.Context, starts []origin.Start) error
	// MarkComplete marks the starts on record as complete, unless the store has been restored since the era began.
	MarkComplete(ctx context.Context, e era.Era) error
	// AppendOrigins appends origins of streams to a log whose oldest records expire.
	AppendOrigins(ctx context.Context, origins []Archived) error
	// Origins returns a page of the origins from a position on, or of the newest ones from the zero
	// position on. A page that isn't the last one isn't empty.
	Origins(ctx context.Context, from era.Position) (OriginPage, error)
}

// OriginPage is a part of the archived origins.
type OriginPage struct {
	Origins []Archived
	Next    era.Position // after the page
	More    bool
}

const (
	// checkInterval is the time between two checks of whether a visible start isn't on record.
	checkInterval = 100 * time.Millisecond
	// writeDelay is how much later than a reader of the endpoints' entries another VM records a start.
	writeDelay = 150 * time.Millisecond
	// maxLoadTime is the time after which a VM serves without the records of earlier processes.
	maxLoadTime = 1500 * time.Millisecond
	// retryInterval is the time between two attempts to write, or to read the records first.
	retryInterval = 300 * time.Millisecond
	// spreadPerVM is the time per VM over which VMs spread calls that all of them make at the same event.
	spreadPerVM = 2 * time.Millisecond
	// lateCallTime is how long after it was sent the store may carry out a call.
	lateCallTime = 5 * time.Second
	// appendInterval is the minimum time between two appends of origins, and maxAppends bounds those under way.
	appendInterval = 100 * time.Millisecond
	maxAppends     = 8
	// readInterval is the minimum time between two reads for streams that are taken up. All that wait
	// share one read.
	readInterval = 50 * time.Millisecond
	// maxReadPause bounds the time between two such reads in a large deployment. Look-ups wait for it.
	maxReadPause = 250 * time.Millisecond
	// maxPending bounds the origins that wait for an append: those of all streams of a window, when a second
	// version appears. Further ones are dropped: a stream whose origin isn't found is refused.
	maxPending = 128 << 10
	// archiveTTL is how long an archived origin is kept in memory, and maxArchived bounds their number.
	archiveTTL  = time.Minute
	maxArchived = 128 << 10
	// minWindow is the minimum time for which callers may take up a stream, and takeUpSlack is added to its
	// route's time limit.
	minWindow   = 30 * time.Second
	takeUpSlack = 5 * time.Second
)

// Window returns for how long callers may take up a stream that may last for limit.
func Window(limit time.Duration) time.Duration { return max(minWindow, limit+takeUpSlack) }

var (
	// errStoreRead means that the store couldn't be read in time.
	errStoreRead = errors.New("the record of versions can't be read")
	// errRestored means that the store may have lost records that VMs write again.
	errRestored = errors.New("the store has been restored lately")
	// errIncomplete means that the store may have lost records that no VM knows of any more.
	errIncomplete = errors.New("the store has been restored, and its record of versions may be incomplete")
)

// Archive keeps at the platform's store what has to outlive all VMs: at which versions streams of each route
// may begin, and the origins of streams while there are several. It makes no call otherwise.
//
// It is safe for concurrent use.
type Archive struct {
	Store   Store
	Clock   clock.Clock
	Catalog *catalog.Store
	// History reads the latest changes of the endpoints' entries.
	History func(ctx context.Context) (*origin.History, error)
	// VMs returns the number of VMs, and Spread a number that differs between them.
	VMs    func() int
	Spread uint64
	// IsReader reports whether this VM reads the endpoints' entries for all and its view is fresh.
	IsReader func() bool
	// IsSettled reports whether a read that was sent at the given time returned what VMs had recorded before
	// the store was restored.
	IsSettled func(at clock.Time) bool
	// Era returns the store's era, and since when it is known.
	Era func() (era.Era, clock.Time)
	// OnRecords is called with the records that this VM reads first.
	OnRecords func(Records)
	// OnAmbiguous is called when streams of a route may begin at a further version.
	OnAmbiguous func()
	// OnAppendFailed is called once with each origin that the store doesn't take from this VM.
	OnAppendFailed func([]Archived)
	// AppendDelay returns how long this VM waits before the first append after a pause.
	AppendDelay func() time.Duration

	loaded  atomic.Bool
	hasRead atomic.Bool // the records have been read
	// completeIn is the newest era in which the starts on record are known to be complete.
	completeIn atomic.Uint64
	starts     *origin.Starts
	checked    atomic.Pointer[catalog.View] // whose starts are visible

	updating sync.Mutex // serializes updateVisible

	mu       sync.Mutex
	archived *origin.Register
	waiting  []waiter
	reading  bool
	readAt   clock.Time    // when the newest read began
	added    chan struct{} // origins wait for an append
	pending  []Archived
	failed   []Archived // origins that the store hasn't taken yet
	dropped  int

	appendsFail atomic.Bool // the latest append failed

	history atomic.Pointer[origin.History] // nil until it has been read

	calculating sync.Mutex
	offRecord   map[origin.Origin][]origin.Origin // by the history, for an origin on record

	next era.Position // of readForWaiting

	// Of the goroutine that records starts.
	retryAt    clock.Time
	obsoleteAt clock.Time
	verifyAt   clock.Time // zero if nothing was written lately
	markAt     clock.Time
}

// waiter waits for a read for a stream that was taken up.
type waiter struct {
	stream *origin.Stream
	result chan<- readResult
}

type readResult struct {
	Records
	sentAt     clock.Time
	err        error
	historyErr error // for streams that need the history
}

// NewArchive returns an archive whose exported fields are to be set.
func NewArchive() *Archive {
	return &Archive{
		starts: origin.NewStarts(), archived: origin.NewRegisterOf(maxArchived), offRecord: map[origin.Origin][]origin.Origin{}, added: make(chan struct{}, 1),
		OnAmbiguous: func() {}, OnAppendFailed: func([]Archived) {}, OnRecords: func(Records) {}, AppendDelay: func() time.Duration { return 0 },
		History:   func(context.Context) (*origin.History, error) { return &origin.History{}, nil },
		IsSettled: func(clock.Time) bool { return true }, Era: func() (era.Era, clock.Time) { return era.First, 0 },
	}
}

// MayBegin reports whether a new stream of a route may begin at an endpoint.
func (a *Archive) MayBegin(r *catalog.Route, e *catalog.Endpoint) bool {
	a.updateVisible()
	return a.starts.MayBegin(a.Clock.Now(), startOf(r, e.Service, e.Version))
}

// Pending reports whether MayBegin may return false.
func (a *Archive) Pending() bool { return a.starts.Pending() || a.Catalog.View() != a.checked.Load() }

func startOf(r *catalog.Route, service, version string) *origin.Start {
	return &origin.Start{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix, Origin: origin.Origin{Service: service, Version: version}}
}

// Reset handles a restore of the store, which may have lost records.
func (a *Archive) Reset() { a.starts.Reset(a.Clock.Now()) }

// isAmbiguous reports whether a stream that begins now may later be taken for one of another version.
func (a *Archive) isAmbiguous(st *origin.Stream) bool {
	return len(origin.Possible(a.starts.Known(), st)) > 1
}

// isAnyAmbiguous reports whether streams of any route may have begun at several versions.
func (a *Archive) isAnyAmbiguous() bool {
	known := a.starts.Known()
	return slices.ContainsFunc(known, func(s origin.Start) bool {
		return len(origin.Possible(known, &origin.Stream{Host: s.Host, Path: s.PathPrefix})) > 1
	})
}

// Name implements kernel.Unit.
func (a *Archive) Name() string { return "archive" }

// mayHaveBegun returns where a stream may have begun, as far as this VM knows. As long as it hasn't read the
// records, that is wherever one might.
func (a *Archive) mayHaveBegun(st *origin.Stream) []origin.Origin {
	a.updateVisible()
	if !a.hasRead.Load() {
		return origin.Possible(a.starts.Known(), st)
	}
	return origin.Possible(a.starts.MayHaveBegun(), st)
}

// VersionsBegun returns the versions of a service at which streams may have begun, as far as this VM knows. It
// returns false if it hasn't read the records yet.
func (a *Archive) VersionsBegun(service string) (versions []string, ok bool) {
	a.updateVisible()
	for _, s := range a.starts.MayHaveBegun() {
		if s.Service == service && !slices.Contains(versions, s.Version) {
			versions = append(versions, s.Version)
		}
	}
	slices.Sort(versions)
	return versions, a.hasRead.Load()
}

// Loaded reports whether the records have been read, or can't be read for long.
func (a *Archive) Loaded() bool { return a.loaded.Load() }

// Run implements kernel.Runner. It reads the records, then records starts as they become visible, drops
// obsolete ones and appends origins.
func (a *Archive) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.load(ctx) })
	group.Go(func() error { return clock.Every(ctx, checkInterval, func() { a.maintain(ctx) }) })
	group.Go(func() error { return a.runAppends(ctx) })
	return group.Wait()
}

// load reads the records. If the store can't be read, the VM serves without them after maxLoadTime: others may
// tell it what is quarantined, and refusing all requests would be worse.
func (a *Archive) load(ctx context.Context) error {
	overdue := time.AfterFunc(maxLoadTime, func() { a.loaded.Store(true) })
	defer overdue.Stop()
	for {
		r := a.read(ctx)
		if r.err == nil {
			a.OnRecords(r.Records)
			a.loaded.Store(true)
			return nil
		}
		if !clock.Sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

func (a *Archive) maintain(ctx context.Context) {
	a.updateVisible()
	a.recordMissing(ctx)
	a.verify(ctx)
	a.markComplete(ctx)
	a.dropObsolete(ctx)
}

// updateVisible has the starts follow the catalog's newest view.
func (a *Archive) updateVisible() {
	if a.Catalog.View() == a.checked.Load() {
		return
	}
	a.updating.Lock()
	v := a.Catalog.View()
	if v.Config == nil || v == a.checked.Load() {
		a.updating.Unlock()
		return
	}
	serving, window := visibleStarts(v)
	a.starts.SetServing(a.Clock.Now(), serving)
	added := a.starts.SetVisible(a.Clock.Now(), slices.Collect(maps.Keys(serving)), window)
	a.checked.Store(v)
	a.updating.Unlock()
	a.checkAmbiguous(added)
}

func (a *Archive) checkAmbiguous(added []origin.Start) {
	if slices.ContainsFunc(added, func(s origin.Start) bool {
		return a.isAmbiguous(&origin.Stream{Host: s.Host, Path: s.PathPrefix})
	}) {
		a.OnAmbiguous()
	}
}

// visibleStarts returns the starts that a view allows, and for how long callers may take up a stream. Routes whose
// streams may not be resumed count, too: another one may have their paths when callers try.
func visibleStarts(v *catalog.View) (starts map[origin.Start]origin.Serving, window time.Duration) {
	versions := map[string]map[string]origin.Serving{}
	for _, e := range v.All() {
		if versions[e.Service] == nil {
			versions[e.Service] = map[string]origin.Serving{}
		}
		s := versions[e.Service][e.Version]
		if !e.Draining {
			s.Endpoints++
			s.CanRun = s.CanRun || e.Stage != catalog.Prefill
		}
		versions[e.Service][e.Version] = s
	}
	starts, window = map[origin.Start]origin.Serving{}, minWindow
	for r := range v.Config.Routes() {
		if r.Kind != catalog.Stream {
			continue
		}
		window = max(window, Window(r.Timeout))
		for _, share := range r.Shares {
			for version, serving := range versions[share.Service] {
				if share.Weight > 0 {
					starts[*startOf(r, share.Service, version)] = serving
				}
			}
		}
	}
	return starts, window
}

// spread returns the part of the time over which all VMs spread their calls that this VM lets pass.
func (a *Archive) spread() time.Duration {
	return time.Duration(a.Spread % uint64(max(a.VMs(), 1)*int(spreadPerVM)))
}

// recordMissing puts the visible starts that aren't on record there. One of the VMs that read the endpoints'
// entries writes first; the others find its record.
func (a *Archive) recordMissing(ctx context.Context) {
	now := a.Clock.Now()
	missing, since := a.starts.Missing(now)
	delay := a.spread()
	if !a.IsReader() {
		delay += writeDelay
	}
	if len(missing) == 0 || now < a.retryAt || now.Sub(since) < delay {
		return
	}
	a.retryAt = now.Add(retryInterval)
	e, _ := a.Era()
	if !a.IsReader() || !a.knowsRecord(e) {
		r := a.read(ctx)
		if r.err != nil || !a.markEmpty(ctx, &r) {
			return
		}
		if missing, _ = a.starts.Missing(now); len(missing) == 0 {
			return
		}
	}
	if err := a.Store.PutStarts(ctx, missing); err != nil {
		log.WithError(err).WithField("starts", len(missing)).Warn("versions of streams not recorded")
		return
	}
	for _, s := range missing {
		log.WithField("host", s.Host).WithField("path", s.PathPrefix).WithField("service", s.Service).WithField("version", s.Version).Info("version of streams recorded")
	}
	if newest, _ := a.Era(); newest == e {
		a.starts.SetWritten(a.Clock.Now(), missing)
	}
	a.verifyAt = now.Add(lateCallTime)
	a.read(ctx)
}

// knowsRecord reports whether this VM has read a complete record in an era. Others may have added starts since: a
// reader writes them again at the worst.
func (a *Archive) knowsRecord(e era.Era) bool {
	return a.hasRead.Load() && a.completeIn.Load() == uint64(e)
}

// markEmpty marks a record without starts as complete, before the first start is written, where the store may be one
// that was never restored. It returns false if the store doesn't take the mark.
func (a *Archive) markEmpty(ctx context.Context, r *readResult) bool {
	e, _ := a.Era()
	if !r.Incomplete || len(r.Starts) > 0 || e > era.MaxFirst {
		return true
	}
	err := a.Store.MarkComplete(ctx, e)
	if err != nil {
		log.WithError(err).Warn("record of versions not marked as complete")
	}
	return err == nil
}

// verify reads the record again once calls that were sent before a start was written have been carried out: one of
// them may have removed it.
func (a *Archive) verify(ctx context.Context) {
	if a.verifyAt != 0 && a.Clock.Now() >= a.verifyAt {
		a.verifyAt = 0
		a.read(ctx)
	}
}

// markComplete marks the starts on record as complete after a restore of the store, once the VMs have written again
// what they know. That is all that callers can need if this VM has been running for a window before the restore, or
// nobody can take up a stream from before it any more. As with starts, one of the readers comes first.
func (a *Archive) markComplete(ctx context.Context) {
	now := a.Clock.Now()
	e, since := a.Era()
	if e <= era.First || a.completeIn.Load() >= uint64(e) || now < a.markAt || !a.IsSettled(now) || !a.starts.KnowsBefore(now, since) {
		return
	}
	if !a.IsReader() && !a.IsSettled(now.Add(-a.spread()-writeDelay)) {
		return
	}
	a.markAt = now.Add(retryInterval)
	if missing, _ := a.starts.Missing(now); len(missing) > 0 {
		return
	}
	if r := a.read(ctx); r.err != nil || !r.Incomplete {
		return
	}
	if err := a.Store.MarkComplete(ctx, e); err != nil {
		log.WithError(err).Warn("record of versions not marked as complete")
		return
	}
	log.WithField("era", uint64(e)).Info("record of versions marked as complete")
	a.read(ctx)
}

// dropObsolete removes from the record what no caller can need. The readers do it; the others read the
// record again later.
func (a *Archive) dropObsolete(ctx context.Context) {
	now := a.Clock.Now()
	obsolete := a.starts.Obsolete(now)
	if len(obsolete) == 0 || now < a.obsoleteAt {
		return
	}
	a.obsoleteAt = now.Add(minWindow + a.spread())
	if a.IsReader() {
		if err := a.Store.DeleteStarts(ctx, obsolete); err != nil {
			log.WithError(err).Warn("obsolete versions of streams not dropped")
		}
	}
	a.read(ctx)
}

// Add has the origins of streams appended to the log.
func (a *Archive) Add(origins ...Archived) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = a.addBounded(a.pending, origins)
	a.requestAppend()
}

// addBounded adds origins to a list of those that wait. mu is held.
func (a *Archive) addBounded(list, origins []Archived) []Archived {
	room := max(0, maxPending-len(a.pending)-len(a.failed))
	if len(origins) > room {
		a.dropped += len(origins) - room
		origins = origins[:room]
	}
	return append(list, origins...)
}

func (a *Archive) requestAppend() {
	select {
	case a.added <- struct{}{}:
	default: // an append is due already
	}
}

// runAppends appends origins as they are added. An append doesn't wait for the one before it, which a slow store may
// take long for.
func (a *Archive) runAppends(ctx context.Context) error {
	var appends errgroup.Group
	appends.SetLimit(maxAppends)
	defer func() { _ = appends.Wait() }() // they return no error
	for isFirst := true; ; isFirst = false {
		if err := a.awaitAppend(ctx, isFirst); err != nil {
			return err
		}
		appends.Go(func() error {
			a.appendPending(ctx)
			return nil
		})
		pause := appendInterval
		if a.appendsFail.Load() {
			pause = retryInterval
		}
		if !clock.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// awaitAppend waits until an append is due. If there is nothing to append right after another one, the next one comes
// after AppendDelay.
func (a *Archive) awaitAppend(ctx context.Context, isFirst bool) error {
	if len(a.added) > 0 && !isFirst {
		<-a.added
		return nil
	}
	select {
	case <-a.added:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !clock.Sleep(ctx, a.AppendDelay()) {
		return ctx.Err()
	}
	return nil
}

// appendPending appends the origins that wait.
func (a *Archive) appendPending(ctx context.Context) {
	a.mu.Lock()
	failed, added, dropped := a.failed, a.pending, a.dropped
	a.failed, a.pending, a.dropped = nil, nil, 0
	a.mu.Unlock()
	origins := slices.Concat(failed, added)
	if len(origins) == 0 {
		return
	}
	err := a.Store.AppendOrigins(ctx, origins)
	a.appendsFail.Store(err != nil)
	if err != nil || dropped > 0 {
		log.WithError(err).WithField("origins", len(origins)).WithField("dropped", dropped).Warn("origins of streams not archived")
	}
	if err == nil {
		return
	}
	a.appendLater(origins)
	if len(added) > 0 {
		a.OnAppendFailed(added)
	}
}

// appendLater keeps origins that the store hasn't taken for the next append.
func (a *Archive) appendLater(origins []Archived) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = a.addBounded(a.failed, origins)
	a.requestAppend()
}

// Lookup returns the archived origin of a stream, or the origins that it may have. It fails if the store
// can't be read, or may lack records.
func (a *Archive) Lookup(ctx context.Context, st *origin.Stream) (found origin.Origin, known bool, possible []origin.Origin, err error) {
	if found, known = a.archived.Find(a.Clock.Now(), st.Key); known {
		return found, true, nil, nil
	}
	r := a.readFor(ctx, st)
	if r.err != nil {
		return origin.Origin{}, false, nil, r.err
	}
	found, known = a.archived.Find(a.Clock.Now(), st.Key)
	if !known && r.Incomplete {
		if a.IsSettled(r.sentAt) {
			return origin.Origin{}, false, nil, errIncomplete
		}
		return origin.Origin{}, false, nil, errRestored
	}
	possible = origin.Possible(r.Starts, st)
	switch {
	case known || !a.needsHistory(possible):
		return found, known, possible, nil
	case r.historyErr != nil:
		return origin.Origin{}, false, nil, r.historyErr
	}
	return origin.Origin{}, false, append(possible, a.usedOffRecord(possible[0])...), nil
}

// needsHistory reports whether streams with the given origins by the record may have begun before this VM started, off the
// record.
func (a *Archive) needsHistory(possible []origin.Origin) bool {
	return len(possible) == 1 && !a.hasSeenAll()
}

// usedOffRecord returns where streams may have begun that have one origin by the record. It is calculated once: as time
// goes by, less counts.
func (a *Archive) usedOffRecord(recorded origin.Origin) []origin.Origin {
	a.calculating.Lock()
	defer a.calculating.Unlock()
	used, ok := a.offRecord[recorded]
	if h := a.history.Load(); !ok && h != nil {
		used = h.UsedOffRecord(recorded, time.Now().Add(-a.starts.RecordTime()).UnixMilli())
		a.offRecord[recorded] = used
	}
	return used
}

// hasSeenAll reports whether this VM has been running since streams began that callers may take up now.
func (a *Archive) hasSeenAll() bool {
	now := a.Clock.Now()
	return a.starts.KnowsBefore(now, now)
}

// readHistory reads what has served before this VM started, once. Only readForWaiting calls it.
func (a *Archive) readHistory(ctx context.Context) error {
	if a.history.Load() != nil || a.hasSeenAll() {
		return nil
	}
	h, err := a.History(ctx)
	if err != nil {
		log.WithError(err).Warn("changes of endpoints' entries not read")
		return errors.Join(errStoreRead, err)
	}
	log.WithField("changes", len(h.Changes)).WithField("whole", h.Whole).Info("changes of endpoints' entries read")
	a.history.Store(h)
	return nil
}

// readFor returns the result of a read that begins after the call.
func (a *Archive) readFor(ctx context.Context, st *origin.Stream) readResult {
	result := make(chan readResult, 1)
	a.mu.Lock()
	a.waiting = append(a.waiting, waiter{st, result})
	if !a.reading {
		a.reading = true
		go a.readForWaiting(context.WithoutCancel(ctx))
	}
	a.mu.Unlock()
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return readResult{err: errors.Join(errStoreRead, ctx.Err())}
	}
}

// readForWaiting reads until nobody waits.
func (a *Archive) readForWaiting(ctx context.Context) {
	for {
		a.mu.Lock()
		if len(a.waiting) == 0 {
			a.reading = false
			a.mu.Unlock()
			return
		}
		pause := time.Duration(0)
		if a.readAt != 0 {
			pause = min(readInterval+a.spread(), maxReadPause) - a.Clock.Now().Sub(a.readAt)
		}
		a.mu.Unlock()
		time.Sleep(pause)
		a.mu.Lock()
		waiting := a.waiting
		a.waiting, a.readAt = nil, a.Clock.Now()
		a.mu.Unlock()
		history := make(chan error, 1)
		go func() { history <- a.readHistory(ctx) }()
		r := a.read(ctx)
		isAmbiguous := func(w waiter) bool { return a.isAmbiguous(w.stream) }
		if r.err == nil && slices.ContainsFunc(waiting, isAmbiguous) {
			r.err = a.readOrigins(ctx)
		}
		var needHistory []waiter
		for _, w := range waiting {
			if r.err == nil && a.needsHistory(origin.Possible(r.Starts, w.stream)) {
				needHistory = append(needHistory, w)
				continue
			}
			w.result <- r
		}
		r.historyErr = <-history
		for _, w := range needHistory {
			w.result <- r
		}
	}
}

// read reads the starts on record.
func (a *Archive) read(ctx context.Context) readResult {
	sentAt := a.Clock.Now()
	records, err := a.Store.Records(ctx)
	if err != nil {
		log.WithError(err).Warn("records not read")
		return readResult{err: errors.Join(errStoreRead, err)}
	}
	a.hasRead.Store(true)
	if e, _ := a.Era(); !records.Incomplete {
		a.completeIn.Store(uint64(e))
	}
	a.starts.SetWhole(!records.Incomplete)
	a.checkAmbiguous(a.starts.SetRecorded(a.Clock.Now(), records.Starts))
	return readResult{Records: records, sentAt: sentAt}
}

// readOrigins reads the origins that were added since the last call. Only readForWaiting calls it.
func (a *Archive) readOrigins(ctx context.Context) error {
	for {
		page, err := a.Store.Origins(ctx, a.next)
		if err != nil {
			log.WithError(err).Warn("origins of streams not read")
			return errors.Join(errStoreRead, err)
		}
		for _, o := range page.Origins {
			a.archived.Record(a.Clock.Now(), o.Stream, o.Origin, archiveTTL)
		}
		a.next = page.Next
		if !page.More {
			return nil
		}
	}
}
