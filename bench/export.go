package bench

// exportLimitTokens is the number of tokens that one engine can export during a reclaim notice: 20,000 tokens per
// second for 4 s of the 5 s notice.
const exportLimitTokens = 80_000

// exportCaches exports the KV caches of running jobs in batch order. It skips jobs in prefill and caches that exceed the
// remaining tokens.
func (s *server) exportCaches() {
	remaining := exportLimitTokens
	for _, j := range s.running {
		computed := j.promptTokens - j.prefillRemaining + j.decodeTokens - j.decodeRemaining
		if computed > remaining || j.prefillRemaining > 0 {
			continue
		}
		remaining -= computed
		j.imported = computed
	}
}
