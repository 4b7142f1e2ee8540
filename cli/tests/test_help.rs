//! The help text.

use crate::fixtures::folder;
use expect_test::expect;

#[test]
fn help_describes_all_commands() {
    expect![[r#"
        medlarspur
          Authors, checks and signs bundles, and reads what instances do.

          A usual day: write site.yaml, `medlarspur bundle check site.yaml`, look at
          `medlarspur bundle diff old.yaml site.yaml`, then
          `medlarspur bundle sign site.yaml --key site.key --out signed.yaml`, publish
          signed.yaml on the platform, and watch it come into force with
          `medlarspur status 10.0.0.1:9000 10.0.0.2:9000`.

          Addresses are those of `operator:` in the instances' settings.

          Exit codes: 0 done; 1 the answer is no (faults in a bundle, bundles differ,
          an instance is not ready or has another bundle in force); 2 wrong command
          line; 3 a file can't be read or written, or is no key; 4 an instance can't be
          reached or gives no proper answer.

        OPTIONS:
            -h, --help
              Prints help information.

        SUBCOMMANDS:

        medlarspur key
          Keys that sign bundles off.


        medlarspur key new
          Draws a key pair. The secret key goes to FILE, which only you can
          read; the public key goes to FILE.pub and into `keys:` of each
          instance's settings. No file is overwritten.

          OPTIONS:
            --out <file>
              The file for the secret key.


        medlarspur bundle
          Bundles: check, sign, show and compare them.


        medlarspur bundle check
          Prints every fault of a bundle with its line and what to do.

          ARGS:
            <file>
              The bundle, signed or not.

          OPTIONS:
            --trust <key>
              Also demand a signature by this public key (a .pub file).

            --json
              Print JSON.


        medlarspur bundle sign
          Checks a bundle and signs it off.

          ARGS:
            <file>
              The bundle; an earlier signature is replaced.

          OPTIONS:
            --key <file>
              The file of the secret key.

            --out <file>
              Where the signed bundle goes, instead of to the terminal.


        medlarspur bundle show
          Prints a bundle with all its defaults filled in.

          ARGS:
            <file>
              The bundle.

          OPTIONS:
            --json
              Print JSON.


        medlarspur bundle diff
          Prints what differs between two bundles. Exit code 1 if anything does.

          ARGS:
            <old>
              The earlier bundle.

            <new>
              The later bundle.

          OPTIONS:
            --json
              Print JSON.


        medlarspur status
          Prints the state of one instance, or of all that are given: the bundle in
          force, life cycle, members and moves under way.

          ARGS:
            <addresses>...
              Addresses of instances, such as 10.0.0.1:9000.

          OPTIONS:
            --json
              Print JSON.


        medlarspur explain
          Prints where the next packet of a flow goes from an instance, and why.

          ARGS:
            <flow>
              The flow, as tcp:CALLER-IP:PORT:SERVICE-IP:PORT, or as lines
              have it, CALLER-IP:PORT>SERVICE-IP:PORT.

          OPTIONS:
            --instance <address>
              The address of the instance to ask.

            --json
              Print JSON.


        medlarspur flows
          Lists flows that an instance knows.

          OPTIONS:
            --instance <address>
              The address of the instance to ask.

            --limit <count>
              How many flows at most; 100 if not given.

            --json
              Print JSON.


        medlarspur top
          Shows rates of instances, again and again until interrupted.

          ARGS:
            <addresses>...
              Addresses of instances.

          OPTIONS:
            --interval <seconds>
              Seconds between two rounds; 2 if not given.

            --rounds <count>
              How many rounds; without end if not given.

            --json
              Print one JSON array a round.

    "#]]
    .assert_eq(&folder().printed("--help"));
}

#[test]
fn every_command_prints_the_same_help() {
    let folder = folder();
    let whole = folder.printed("--help");

    for command in ["key new", "bundle check", "status", "explain", "flows", "top"] {
        assert_eq!(folder.printed(&format!("{command} --help")), whole, "{command}");
    }
}
