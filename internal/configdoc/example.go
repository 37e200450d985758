package configdoc

// Example is a valid settings file that sets every field.
const Example = `instance: entry-1
datacentre: quito-norte
region: sierra
distances:
  quito-sur: 1ms
  ambato: 1ms
  riobamba: 1ms
listen:
  callers: 127.0.0.1:7401
  operators: 127.0.0.1:7402
  peers: 127.0.0.1:7403
  heartbeats: 127.0.0.1:7404
platform:
  address: 127.0.0.1:7501
  credential: platform-token
  timeout: 5s
list:
  address: 127.0.0.1:7502
  credential: list-token
  timeout: 5s
cloud:
  address: 127.0.0.1:7503
  credential: cloud-token
  timeout: 5s
fleet_key: "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0"
operators:
  - name: rosa
    key_hash: "c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0"
limits:
  max_requests: 4096
  max_body_bytes: 1048576
  max_header_bytes: 16384
  read_timeout: 10s
  default_deadline: 60s
  max_deadline: 1800s
  finished_kept: 60s
  timeline_events: 16384
shutdown:
  drain_timeout: 30s
  handover_margin: 3s
log:
  level: info
  format: json
`
