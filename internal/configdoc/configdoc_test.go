package configdoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"knapweedhoist/catalog"
	"knapweedhoist/internal/commandline"
	"knapweedhoist/internal/daemon"
	"knapweedhoist/settings"
)

func TestConfigdoc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configdoc")
}

const root = "../.."

// documentedFields returns the fields of the structs that the page documents, by package and type name.
func documentedFields() map[string][]field {
	fields := make(map[string][]field)
	for dir, tagKey := range map[string]string{"settings": "yaml", "entry": "yaml", "catalog": "json"} {
		all, err := parseStructs(filepath.Join(root, dir), tagKey)
		Expect(err).NotTo(HaveOccurred())
		pending := []string{"Settings"}
		if dir == "catalog" {
			pending = []string{"Service", "Team", "Preset"}
		}
		for len(pending) > 0 {
			for _, f := range all[pending[0]] {
				fields[dir+"."+pending[0]] = append(fields[dir+"."+pending[0]], f)
				pending = append(pending, elementOf(f.typeName))
			}
			pending = pending[1:]
		}
	}
	return fields
}

var boundPattern = regexp.MustCompile(`(?:min|max)=([0-9]+)`)

// placeholderPattern matches the placeholder of a value, or the whole section of the duties, in the deploy template.
var placeholderPattern = regexp.MustCompile(`\{\{#.*/[A-Za-z.]+\}\}|\{\{[^}]*\}\}`)

// fillTemplate replaces each placeholder by a sample value, as a platform does: JSON where the placeholder asks for it,
// true for a boolean, and text or a number elsewhere.
func fillTemplate(template string) string {
	return placeholderPattern.ReplaceAllStringFunc(template, func(match string) string {
		switch {
		case strings.HasPrefix(match, "{{#"):
			return `"usage_report","autoscale"`
		case strings.Contains(match, "Bootstrap"), strings.Contains(match, "RequireFence"):
			return "true"
		case strings.Contains(match, "Ip"):
			return "10.1.0.14"
		case strings.Contains(match, "PortRange"):
			return "7600"
		case strings.Contains(match, "CloudApi.Address"):
			return "10.200.0.35:8225"
		case strings.Contains(match, "json"):
			return `"10.1.0.14:8221"`
		default:
			return "5"
		}
	})
}

var _ = Describe("configuration page", func() {
	It("guards against a stored page that differs from the generated one", func() {
		page, err := Page(root)
		Expect(err).NotTo(HaveOccurred())
		stored, err := os.ReadFile(root + "/docs/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(stored)).To(Equal(page), "run go generate ./internal/configdoc")
	})

	It("guards against a field without a doc comment, and a doc comment that omits a min or max of the validate tag", func() {
		count := 0
		for name, fields := range documentedFields() {
			for _, f := range fields {
				count++
				Expect(f.comment).NotTo(BeEmpty(), name+"."+f.name)
				for _, limit := range boundPattern.FindAllStringSubmatch(f.rule, -1) {
					Expect(f.comment).To(MatchRegexp(`\b`+limit[1]), "%s.%s: %s", name, f.name, f.rule)
				}
			}
		}
		Expect(count).To(BeNumerically(">", 50)) // otherwise fields were not found and so not checked
	})

	It("guards against a doc comment of a limit, shutdown or log setting with another default than the code, and a changed default distance or timeout", func() {
		all, err := parseStructs(filepath.Join(root, "settings"), "yaml")
		Expect(err).NotTo(HaveOccurred())
		encoded, err := yaml.Marshal(settings.Default())
		Expect(err).NotTo(HaveOccurred())
		var defaults struct {
			Limits   map[string]any
			Shutdown map[string]any
			Log      map[string]any
		}
		Expect(yaml.Unmarshal(encoded, &defaults)).To(Succeed())
		for typeName, values := range map[string]map[string]any{
			"Limits": defaults.Limits, "Shutdown": defaults.Shutdown, "Log": defaults.Log,
		} {
			for _, f := range all[typeName] {
				Expect(f.comment).To(MatchRegexp(`Default "?`+defaultText(values[f.name])+`\b`), typeName+"."+f.name)
			}
		}
		Expect(settings.DefaultDistance).To(Equal(40 * time.Millisecond))
		Expect(settings.DefaultRemoteTimeout).To(Equal(5 * time.Second))
	})

	It("guards against a doc comment of a number in the shared configuration with another default than the code", func() {
		all, err := parseStructs(filepath.Join(root, "catalog"), "json")
		Expect(err).NotTo(HaveOccurred())
		document := catalog.Initial()
		document.Services = []catalog.Service{{Name: "s", Kind: catalog.KindPlain}}
		document.Teams = []catalog.Team{{Name: "t", KeyHashes: []string{strings.Repeat("0a", 32)}, Services: []string{"s"}}}
		snapshot, err := catalog.NewSnapshot(document)
		Expect(err).NotTo(HaveOccurred())
		service, _ := snapshot.Service("s")
		team, _ := snapshot.Team("t")
		for typeName, item := range map[string]any{"Service": service, "Team": team, "Preset": snapshot.InForce()} {
			encoded, err := json.Marshal(item)
			Expect(err).NotTo(HaveOccurred())
			var values map[string]any
			Expect(json.Unmarshal(encoded, &values)).To(Succeed())
			for _, f := range all[typeName] {
				if number, ok := values[f.name].(float64); ok {
					Expect(f.comment).To(MatchRegexp(fmt.Sprintf(`Default %d\b`, int(number))), typeName+"."+f.name)
				}
			}
		}
	})

	It("guards against a deploy template that the entry daemon rejects or that omits a field", func() {
		template, err := os.ReadFile(root + "/deploy/settings.yaml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		filled := fillTemplate(string(template))
		path := filepath.Join(GinkgoT().TempDir(), "entry.yaml")
		Expect(os.WriteFile(path, []byte(filled), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		Expect(daemon.Main([]string{"check-config", "--entry", "-c", path}, &out, &errOut)).To(Equal(commandline.ExitOK), errOut.String()+filled)
		all, err := parseStructs(filepath.Join(root, "entry"), "yaml")
		Expect(err).NotTo(HaveOccurred())
		for _, typeName := range []string{"Settings", "Listen", "Retries", "Usage", "Limits"} {
			for _, f := range all[typeName] {
				Expect(filled).To(MatchRegexp(`(?m)^ *`+f.name+`:`), typeName+"."+f.name)
			}
		}
	})

	It("guards against an example that check-config rejects or that omits a field", func() {
		path := filepath.Join(GinkgoT().TempDir(), "hoist.yaml")
		Expect(os.WriteFile(path, []byte(Example), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		Expect(daemon.Main([]string{"check-config", "-c", path}, &out, &errOut)).To(Equal(commandline.ExitOK), errOut.String())
		all, err := parseStructs(filepath.Join(root, "settings"), "yaml")
		Expect(err).NotTo(HaveOccurred())
		for _, typeName := range []string{"Settings", "Listen", "Remote", "OptionalRemote", "Operator", "Limits", "Shutdown", "Log"} {
			for _, f := range all[typeName] {
				Expect(Example).To(MatchRegexp(`(?m)^[ -]*`+f.name+`:`), typeName+"."+f.name)
			}
		}
	})
})
