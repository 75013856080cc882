#!/usr/bin/python3
"""Compares two builds, or two settings, on the same days with the same seeds.

Usage:
  compare_builds.py run --bench PROGRAM --site FILE --days DAY,... --seeds N
      --before DIR --after DIR --out DIR --why TEXT [--first-seed N] [--jobs N]
  compare_builds.py report DIR [--plot FILE] [--from SECOND] [--to SECOND]

`run` plays each day with each seed in both checkouts and stores the bench's
report files. Seed 0 stands for the day's own seed and is always played. A seed
whose report exists is not played again. `report` prints a Markdown table: the
mean worth before and after, and the mean of the paired differences with its
95 % confidence interval (Student's t), by day and in all. `--plot` draws how
requests ended, by the time when they were due.

Needs Debian's python3-numpy and python3-matplotlib. Its python3-scipy can't be
installed beside libboost1.81-dev.
"""
import argparse
import collections
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys

import numpy

# 0.975 quantiles of Student's t distribution with 1, 2, 3, ... degrees of freedom.
T_QUANTILES = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201,
               2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074,
               2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042)
NORMAL_QUANTILE = 1.960
SIDES = ('before', 'after')
# Outcomes of requests: the report's field and how the plot names it.
OUTCOMES = {'in_aim': 'in time', 'late': 'late', 'refused': 'refused', 'failed': 'failed'}


class ComparisonError(Exception):
    """Input that can't be compared; the message names it."""


@dataclasses.dataclass(frozen=True)
class Play:
    """One day, played once."""
    side: str
    day: str
    seed: int

    def path(self, folder):
        day = pathlib.Path(self.day).stem  # A day of our own is a file.
        return folder / f'{self.side}.{day}.{self.seed}.json'


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Worth of one day, or of all, at paired seeds."""
    name: str
    before: numpy.ndarray
    after: numpy.ndarray

    def interval(self):
        """Half the width of the confidence interval of the mean difference."""
        difference = self.after - self.before
        freedom = len(difference) - 1
        if freedom < 1:
            return float('nan')
        quantile = T_QUANTILES[freedom - 1] if freedom <= len(T_QUANTILES) else NORMAL_QUANTILE
        return quantile * difference.std(ddof=1) / len(difference) ** 0.5

    def row(self):
        difference = (self.after - self.before).mean()
        return (f'| {self.name} | {len(self.before)} | {self.before.mean():.3f} '
                f'| {self.after.mean():.3f} | {difference:+.3f} ± {self.interval():.3f} |')


def play_day(play, options):
    path = play.path(options.out)
    if path.exists():
        return
    command = [options.bench, 'run', options.site, play.day, '--report', path,
               '--why', f'{options.why} ({play.side})']
    if play.seed:
        command += ['--seed', str(play.seed)]
    checkout = getattr(options, play.side)
    done = subprocess.run(command, cwd=checkout, text=True, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, check=False)
    if not path.exists():
        raise ComparisonError(f'{play}: the bench wrote no report (a missing day?):\n'
                              + done.stdout[-2000:])


def run(options):
    seeds = [0] + [options.first_seed + i for i in range(options.seeds - 1)]
    options.out.mkdir(parents=True, exist_ok=True)
    options.out = options.out.resolve()
    plays = [Play(side, day, seed) for seed in seeds for day in options.days.split(',')
             for side in SIDES]
    for side in SIDES:
        subprocess.run([options.bench, 'build'], cwd=getattr(options, side), check=True,
                       stdout=subprocess.DEVNULL)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for finished in [pool.submit(play_day, play, options) for play in plays]:
            finished.result()


def read_report(path):
    report = json.loads(path.read_text())
    if report['breaks']:
        raise ComparisonError(f'{path.name}: rules were broken: {sorted(report["breaks"])}')
    if report['fault']:
        raise ComparisonError(f'{path.name}: fault: {report["fault"]}')
    return report


def read_reports(folder):
    """Returns the reports as {day: {side: {seed: report}}}."""
    reports = collections.defaultdict(lambda: {side: {} for side in SIDES})
    for path in sorted(folder.glob('*.json')):
        side, day, seed = path.name.removesuffix('.json').rsplit('.', 2)[-3:]
        reports[day][side][int(seed)] = read_report(path)
    if not reports:
        raise ComparisonError(f'{folder}: no reports')
    for day, sides in reports.items():
        unpaired = set(sides['before']) ^ set(sides['after'])
        if unpaired:
            raise ComparisonError(f'{day}: seeds played on one side only: {sorted(unpaired)}')
    return reports


def compare(name, sides):
    seeds = sorted(sides['before'])
    worths = {side: numpy.array([sides[side][seed]['G'] for seed in seeds]) for side in SIDES}
    return Comparison(name, worths['before'], worths['after'])


def plot(reports, options):
    import matplotlib
    matplotlib.use('Agg')
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(len(reports), 2, squeeze=False, sharex='col', sharey='row',
                                   figsize=(10, 2.2 * len(reports)))
    for row, (day, sides) in zip(axes, sorted(reports.items())):
        for axis, side in zip(row, SIDES):
            counts = collections.defaultdict(collections.Counter)
            for report in sides[side].values():
                for window in report['windows']:
                    second = float(window['name'])
                    if options.first <= second <= options.last:
                        counts[second].update({key: window[key] for key in OUTCOMES})
            seconds = sorted(counts)
            share = [[counts[second][key] / max(1, counts[second].total()) for second in seconds]
                     for key in OUTCOMES]
            axis.stackplot(seconds, share, labels=OUTCOMES.values(), step='post')
            axis.set_title(f'{day}, {side}', fontsize=8)
    axes[0][0].legend(fontsize=6, loc='lower left')
    figure.supxlabel('second of the day')
    figure.supylabel('share of requests')
    figure.tight_layout()
    figure.savefig(options.plot)


def report(options):
    reports = read_reports(options.folder)
    days = [compare(day, sides) for day, sides in sorted(reports.items())]
    print('| day | seeds | before | after | difference |\n|---|---|---|---|---|')
    for day in days:
        print(day.row())
    print(Comparison('all', numpy.concatenate([day.before for day in days]),
                     numpy.concatenate([day.after for day in days])).row())
    if options.plot:
        plot(reports, options)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest='verb', required=True)
    play = verbs.add_parser('run')
    for name in ('bench', 'site', 'days', 'why'):
        play.add_argument(f'--{name}', required=True)
    for name in ('before', 'after', 'out'):
        play.add_argument(f'--{name}', required=True, type=pathlib.Path)
    play.add_argument('--seeds', type=int, required=True)
    play.add_argument('--first-seed', type=int, default=1001)
    play.add_argument('--jobs', type=int, default=3)
    table = verbs.add_parser('report')
    table.add_argument('folder', type=pathlib.Path)
    table.add_argument('--plot')
    table.add_argument('--from', dest='first', type=float, default=0)
    table.add_argument('--to', dest='last', type=float, default=float('inf'))
    return parser.parse_args()


def main():
    options = parse_arguments()
    try:
        if options.verb == 'run':
            if options.seeds < 1:
                raise ComparisonError('--seeds: at least 1 is needed')
            run(options)
        else:
            report(options)
    except ComparisonError as error:
        sys.exit(f'compare_builds: {error}')


if __name__ == '__main__':
    main()
