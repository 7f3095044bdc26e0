#!/usr/bin/env bash
# Fails if a name of the platform's wire format stands outside platform/.
set -euo pipefail
fields='fencing_token|last_seen|ended_runs|at_revision|has_more|task_memory_mb|max_file_descriptors|gang_timeout_ms|hold_max_ms|checkpointing|long_running|anti_affinity|rack_sensitive|estimated_ms|max_unavailable|path_prefix|target_duration_ms|slack_factor|decision_ms|validity_ms|enforces_capacity|api_keys|heartbeat_interval_ms|stop_timeout_ms|grace_period_s|revocation_ms|disruption_ms'
calls='/run-start|/run-stop|/hold|/pace|/advise|/kv-(txn|range|watch|lease|keep|key)|/machine-(move|upkeep)|servers/|op/(config|evacuate|wave)'
headers='Expected-Instance|Deadline-Ms|Lease-Holder|Fencing-Token|Instance-Id'
if grep -rnE "\"($fields)\"|\"($calls)|\"($headers)\"|TEASELWALK_BOOT" include src; then
  echo "names: the lines above belong into platform/"
  exit 1
fi
echo "names: clean"
