package bench

// exportTokens is what one engine can export during a notice: 20,000 tokens a second for 4 of its 5 s.
const exportTokens = 80_000

// export hands over the KV caches of running jobs, those with the most computed tokens first in the batch order.
func (s *server) exportCaches() {
	remaining := exportTokens
	for _, j := range s.running {
		computed := j.promptTokens - j.prefillRemaining + j.decodeTokens - j.decodeRemaining
		if computed > remaining || j.prefillRemaining > 0 {
			continue
		}
		remaining -= computed
		j.imported = computed
	}
}
