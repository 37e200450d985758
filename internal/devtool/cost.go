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

// processSample holds the CPU time, the resident memory in bytes and the metrics of a process at one time.
type processSample struct {
	cpu     time.Duration
	rss     int64
	metrics map[string]float64
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

func sampleProcesses(ctx context.Context, targets []target) ([]processSample, error) {
	samples := make([]processSample, 0, len(targets))
	for _, t := range targets {
		s, err := sampleProcess(ctx, t)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t.settings.Instance, err)
		}
		samples = append(samples, s)
	}
	return samples, nil
}

func sampleProcess(ctx context.Context, t target) (processSample, error) {
	cpu, err := processorTime(t.pid)
	if err != nil {
		return processSample{}, err
	}
	rss, err := residentBytes(t.pid)
	if err != nil {
		return processSample{}, err
	}
	values, err := readMetrics(ctx, t.settings.Listen.Operators)
	return processSample{cpu: cpu, rss: rss, metrics: values}, err
}

func readPID(path string) (int, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(content)))
}

// processorTime returns the sum of user and system CPU time from /proc/{pid}/stat.
func processorTime(pid int) (time.Duration, error) {
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

// costRow formats one row of the table. Columns are means over the processes unless their name says max.
func costRow(targets []target, before, after []processSample, length time.Duration, result *loadResult) string {
	seconds := length.Seconds()
	var cpu, rss, control []float64
	sums := make(map[string]float64)
	for i := range targets {
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/seconds)
		rss = append(rss, float64(after[i].rss)/1e6)
		controlRate := 0.0
		for name, value := range after[i].metrics {
			rate := (value - before[i].metrics[name]) / seconds
			sums[name] += rate
			if isControlBytes(name) {
				controlRate += rate
			}
		}
		control = append(control, controlRate)
	}
	n := float64(len(targets))
	quantileMillis := func(q float64) float64 { return float64(result.firstToken.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%d,%.0f,%.1f,%d,%.1f,%.1f,%.1f,%.2f,%.2f,%.1f,%.1f,%.0f,%.0f,%.0f,%.2f,%.2f,%.3f,%.2f",
		len(targets), seconds, float64(result.sent)/seconds, result.failed, quantileMillis(50), quantileMillis(95), quantileMillis(99),
		mean(cpu), slices.Max(cpu), mean(rss), slices.Max(rss),
		(sums["heartbeat_sent_bytes_total"]+sums["heartbeat_received_bytes_total"])/n,
		(sums["peer_sent_bytes_total"]+sums["peer_received_bytes_total"])/n, slices.Max(control),
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
