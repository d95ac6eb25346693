package packing

import "cmp"

// binRank is a model's preference for a runner. Lower is better in each field, and
// the first field that differs decides.
type binRank struct {
	// sharedDomain counts the model's replicas in the runner's failure domain.
	sharedDomain int
	// blocked is 1 if a long load would delay the loads of adapters in demand.
	blocked int
	// notLoaded is 1 if the runner hasn't loaded the model.
	notLoaded int
	// busy is the runner's load by interactive requests, in multiples of
	// busyStep, and interactiveModels the number of those models. Both are set
	// for interactive models only.
	busy              int
	interactiveModels int
	// distance is 0 for a loaded model and grows as the model takes longer to load.
	distance int
	// blockedModels counts the models with a local copy on the runner, if a long
	// load of this model would delay their loads.
	blockedModels int
	// remaining is the memory that stays free.
	remaining int64
	host      string
}

func rankOf(it *item, b *bin) binRank {
	locality := b.Locality[it.model.Name]
	rank := binRank{distance: int(Loaded - locality), blockedModels: it.countBlockedModels(b), remaining: b.freeMiB - it.model.MiB, host: b.Host}
	if locality != Loaded {
		rank.notLoaded = 1
	}
	if locality == Remote {
		rank.blocked = boolToInt(b.activeAdapters)
	}
	if it.costClass == interactive {
		rank.busy = b.busySteps()
		rank.interactiveModels = b.interactive
	}
	for _, other := range it.keptOn {
		if other.FailureDomain == b.FailureDomain {
			rank.sharedDomain++
		}
	}
	return rank
}

func (a binRank) compare(b binRank) int {
	return cmp.Or(
		cmp.Compare(a.sharedDomain, b.sharedDomain),
		cmp.Compare(a.blocked, b.blocked),
		cmp.Compare(a.blockedModels, b.blockedModels),
		cmp.Compare(a.busy, b.busy),
		cmp.Compare(a.notLoaded, b.notLoaded),
		cmp.Compare(a.interactiveModels, b.interactiveModels),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.remaining, b.remaining),
		cmp.Compare(a.host, b.host),
	)
}

// countBlockedModels counts the models with a local copy on a runner, if a long
// load of this model would delay their loads.
func (it *item) countBlockedModels(b *bin) int {
	if b.Locality[it.model.Name] != Remote {
		return 0
	}
	return len(b.Locality)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
