# What others embed: the static libraries of the coordination parts, their
# public headers under include/vanillahook, and one pkg-config file.  The
# .pc file finds its prefix from where it stands, so a tree installed under
# DESTDIR can be used in place.
set (embedded)
set (embedded_libs)
foreach (package control gateway storage wire policy conf base)
  if (TARGET vh_${package})
    list (APPEND embedded vh_${package})
    string (APPEND embedded_libs " -lvh_${package}")
    install (DIRECTORY ${CMAKE_SOURCE_DIR}/packages/${package}
      DESTINATION include/vanillahook
      FILES_MATCHING PATTERN "*.h"
      PATTERN "*int.h" EXCLUDE
      PATTERN "*_impl.h" EXCLUDE)
  endif ()
endforeach ()
install (TARGETS ${embedded} ARCHIVE DESTINATION lib)
configure_file (${CMAKE_SOURCE_DIR}/cmake/vanillahook.pc.in
  ${CMAKE_BINARY_DIR}/vanillahook.pc @ONLY)
install (FILES ${CMAKE_BINARY_DIR}/vanillahook.pc DESTINATION lib/pkgconfig)
