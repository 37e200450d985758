package devtool

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// processStats holds the CPU time, the resident memory and the metrics of a process at one time.
type processStats struct {
	cpu      time.Duration
	rssBytes int64
	metrics  map[string]float64
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

func measureProcesses(ctx context.Context, targets []target) ([]processStats, error) {
	stats := make([]processStats, 0, len(targets))
	for _, t := range targets {
		s, err := measureProcess(ctx, t)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t.settings.Instance, err)
		}
		stats = append(stats, s)
	}
	return stats, nil
}

func measureProcess(ctx context.Context, t target) (processStats, error) {
	cpu, err := cpuTime(t.pid)
	if err != nil {
		return processStats{}, err
	}
	rss, err := residentBytes(t.pid)
	if err != nil {
		return processStats{}, err
	}
	values, err := readMetrics(ctx, t.settings.Listen.Operators)
	return processStats{cpu: cpu, rssBytes: rss, metrics: values}, err
}

func readPID(path string) (int, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(content)))
}

// cpuTime returns the sum of user and system CPU time from /proc/{pid}/stat.
func cpuTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the process name in parentheses, which may contain spaces.
	_, rest, found := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has an unknown format", pid)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// residentBytes returns the resident memory from /proc/{pid}/statm.
func residentBytes(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm has an unknown format", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// readMetrics reads the metrics of a daemon, keyed by name without the prefix knapweedhoist_.
// Lines whose value is not a number are left out.
func readMetrics(ctx context.Context, address string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[strings.TrimPrefix(name, "knapweedhoist_")] = value
		}
	}
	return values, lines.Err()
}

// costHeader names the columns of costRow.
const costHeader = "entries,seconds,rate_per_s,failed,first_token_p50_ms,first_token_p95_ms,first_token_p99_ms," +
	"cpu_mean_percent,cpu_max_percent,rss_mean_mb,rss_max_mb," +
	"heartbeat_bytes_per_s,peer_bytes_per_s,control_bytes_max_per_s,platform_reads_per_s,platform_writes_per_s," +
	"list_reads_per_s,load_reads_per_s"

// costRow formats one row of the table. From cpu_mean_percent on, a column with max in its name holds the maximum over the
// processes and any other column the mean. The memory is that at the end of the measurement.
func costRow(targets []target, before, after []processStats, length time.Duration, result *loadResult) string {
	seconds := length.Seconds()
	var cpuPercent, rssMB, controlRates []float64
	sums := make(map[string]float64)
	for i := range targets {
		cpuPercent = append(cpuPercent, 100*(after[i].cpu-before[i].cpu).Seconds()/seconds)
		rssMB = append(rssMB, float64(after[i].rssBytes)/1e6)
		controlRate := 0.0
		for name, value := range after[i].metrics {
			rate := (value - before[i].metrics[name]) / seconds
			sums[name] += rate
			if isControlBytes(name) {
				controlRate += rate
			}
		}
		controlRates = append(controlRates, controlRate)
	}
	n := float64(len(targets))
	quantileMillis := func(q float64) float64 { return float64(result.timeToFirstToken.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%d,%.0f,%.1f,%d,%.1f,%.1f,%.1f,%.2f,%.2f,%.1f,%.1f,%.0f,%.0f,%.0f,%.2f,%.2f,%.3f,%.2f",
		len(targets), seconds, float64(result.sent)/seconds, result.failed, quantileMillis(50), quantileMillis(95), quantileMillis(99),
		mean(cpuPercent), slices.Max(cpuPercent), mean(rssMB), slices.Max(rssMB),
		(sums["heartbeat_sent_bytes_total"]+sums["heartbeat_received_bytes_total"])/n,
		(sums["peer_sent_bytes_total"]+sums["peer_received_bytes_total"])/n, slices.Max(controlRates),
		(sums["platform_get_calls_total"]+sums["platform_list_calls_total"]+sums["platform_watch_calls_total"])/n,
		(sums["platform_put_calls_total"]+sums["platform_delete_calls_total"])/n,
		sums["list_reads_total"]/n, sums["endpoint_load_reads_total"]/n)
}

// isControlBytes reports whether a metric counts bytes of control traffic.
func isControlBytes(name string) bool {
	switch name {
	case "heartbeat_sent_bytes_total", "heartbeat_received_bytes_total", "peer_sent_bytes_total",
		"peer_received_bytes_total", "platform_sent_bytes_total", "platform_received_bytes_total":
		return true
	default:
		return false
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
