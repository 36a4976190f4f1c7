foreach (module limit retry outlier queue balance
    admission poison drain zone)
  vh_test (test_${module} DEPENDS vh_policy)
endforeach ()
# The load patterns, on the queueing model of the bench.
vh_test (test_load DEPENDS vh_model)
vh_test (test_escalation DEPENDS vh_policy)
vh_test (test_allotment DEPENDS vh_policy)
vh_test (test_readers DEPENDS vh_policy)
vh_test (test_pool DEPENDS vh_policy)
vh_test (test_ratelimit DEPENDS vh_policy)
vh_test (test_sendbudget DEPENDS vh_policy)
target_sources (test_sendbudget PRIVATE budget_fleet.c budget_window.c)
# The model of roll-outs, of the bench.
vh_test (test_trial DEPENDS vh_rollout_model)
vh_test (test_trial_masked DEPENDS vh_rollout_model)
vh_test (test_regression DEPENDS vh_policy)
