vh_test (test_http DEPENDS vh_wire)
vh_test (test_rpc DEPENDS vh_wire)
vh_test (test_call DEPENDS vh_wire)
vh_test (test_deflate DEPENDS vh_wire)
