# Sourced by the other tools. Sets $repository to the root folder of the repository, and defines functions that
# install the required packages and build.

set -euo pipefail

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# Working copies in different folders share entries of the compiler cache.
export CCACHE_BASEDIR=$repository
export CCACHE_NOHASHDIR=1

# install_packages: installs the Debian packages listed in tools/packages.txt that are not installed.
install_packages() {
  local missing=() package
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
  done < <(grep -vE '^(#|$)' "$repository/tools/packages.txt")
  if [ ${#missing[@]} -eq 0 ]; then
    return
  fi
  echo "installing Debian packages: ${missing[*]}"
  local as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

# build VARIANT [target...]: configures and builds the targets, by default all. The variant is "release", or the
# sanitizer to build with: "address" or "thread".
build() {
  local variant=$1 folder sanitizer=
  shift
  folder=$(build_folder "$variant")
  [ "$variant" = release ] || sanitizer=$variant
  cmake -S "$repository" -B "$folder" -G Ninja -DQUETZALSPAN_SANITIZER="$sanitizer" >"$folder.cmake.log" 2>&1 ||
    { cat "$folder.cmake.log"; return 1; }
  rm -f "$folder.cmake.log"
  ninja -C "$folder" --quiet "$@"
}

# build_folder VARIANT: prints the build folder, which is build/ for release and build-VARIANT/ for a sanitizer.
build_folder() {
  if [ "$1" = release ]; then echo "$repository/build"; else echo "$repository/build-$1"; fi
}
